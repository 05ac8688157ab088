/** Gates of fake upstreams, with simulated network latency. */
import type { IClockService } from '../../src/common/Services.js'
import type { EndpointId, ILocation, Milliseconds } from '../../src/common/Types.js'
import type { ICallTarget } from '../../src/gate/Types.js'
import type { IRoutableEndpoint } from '../../src/membership/Types.js'
import type { IRemoteGates } from '../../src/routing/Types.js'
import type { FakeUpstream } from './FakeUpstream.js'

const SAME_REGION_TRANSIT_MS = 0.5
const OTHER_REGION_TRANSIT_MS = 8

/** Forwards the calls to an endpoint to the fake upstream that is registered under the id of the endpoint. */
export class FakeGates implements IRemoteGates {
  constructor (
    private readonly _clock: IClockService,
    private readonly _origin: ILocation,
    private readonly _upstreams: ReadonlyMap<EndpointId, FakeUpstream>
  ) {}

  public target (endpoint: IRoutableEndpoint): ICallTarget {
    const upstream = this._upstreams.get(endpoint.id)
    const transitMs = this._transitMs(endpoint) as Milliseconds
    return {
      execute: async (call, sink) => {
        if (upstream === undefined) return { kind: 'not-run', reason: 'unreachable', step: 'fake.gate' }
        if (transitMs > 0) await this._clock.sleep(transitMs)
        const outcome = await upstream.execute(call, sink)
        if (transitMs > 0) await this._clock.sleep(transitMs)
        return outcome
      }
    }
  }

  public warm (): void {}

  public retain (): void {}

  public async close (): Promise<void> {}

  public dispose (): void {}

  private _transitMs (endpoint: ILocation): number {
    if (endpoint.failureDomain === this._origin.failureDomain) return 0
    return endpoint.region === this._origin.region ? SAME_REGION_TRANSIT_MS : OTHER_REGION_TRANSIT_MS
  }
}
