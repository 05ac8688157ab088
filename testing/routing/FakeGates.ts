/** Gates of fake upstreams, behind the latency of the network. */
import type { IClockService } from '../../src/common/Services.js'
import type { EndpointId, ILocation, Milliseconds } from '../../src/common/Types.js'
import type { ICallTarget } from '../../src/gate/Types.js'
import type { IRoutableEndpoint } from '../../src/membership/Types.js'
import type { IRemoteGates } from '../../src/routing/Types.js'
import type { FakeUpstream } from './FakeUpstream.js'

const SAME_REGION_MS = 0.5
const OTHER_REGION_MS = 8

/** Reaches upstreams by their endpoint's id. */
export class FakeGates implements IRemoteGates {
  constructor (
    private readonly _clock: IClockService,
    private readonly _origin: ILocation,
    private readonly _upstreams: ReadonlyMap<EndpointId, FakeUpstream>
  ) {}

  public target (endpoint: IRoutableEndpoint): ICallTarget {
    const upstream = this._upstreams.get(endpoint.id)
    const oneWay = this._oneWay(endpoint) as Milliseconds
    return {
      execute: async (call, sink) => {
        if (upstream === undefined) return { kind: 'not-run', reason: 'unreachable', step: 'fake.gate' }
        if (oneWay > 0) await this._clock.sleep(oneWay)
        const outcome = await upstream.execute(call, sink)
        if (oneWay > 0) await this._clock.sleep(oneWay)
        return outcome
      }
    }
  }

  public warm (): void {}

  public retain (): void {}

  public async close (): Promise<void> {}

  public dispose (): void {}

  private _oneWay (endpoint: ILocation): number {
    if (endpoint.failureDomain === this._origin.failureDomain) return 0
    return endpoint.region === this._origin.region ? SAME_REGION_MS : OTHER_REGION_MS
  }
}
