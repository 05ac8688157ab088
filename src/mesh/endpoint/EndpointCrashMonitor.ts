/** Determines whether the local endpoint ended when an exchange with it broke. */
import { CancellationSource } from '../../common/Cancellation.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { EndpointId, Milliseconds } from '../../common/Types.js'
import { CrashDetector } from '../../gate/CrashDetector.js'
import type { UpstreamConnections } from '../../gate/UpstreamConnections.js'
import { ENDPOINT_CONNECTIONS_LOST } from '../Events.js'
import type { RequestIdentity } from '../crashes/RequestIdentity.js'

/** Dependencies of `EndpointCrashMonitor`. */
export interface IEndpointCrashMonitorOptions {
  readonly connections: UpstreamConnections
  readonly endpoint: EndpointId
  readonly clock: IClockService
  readonly log: ILogService
}

/** What was lost: `connections` if the endpoint accepts new connections, `process` if it does not. */
export type CrashCause = 'connections' | 'process'

/** The simultaneous loss of all connections to the endpoint. */
export interface IEndpointCrash {
  readonly cause: CrashCause
  /** Number of requests that the endpoint was executing. */
  readonly requests: number
}

/** Maximum wait for a connection that shows that the endpoint is still running; it is on the same VM. */
const RECONNECT_TIMEOUT_MS = 100 as Milliseconds

/** Observes the connections to one incarnation of the endpoint. */
export class EndpointCrashMonitor {
  private readonly _detector: CrashDetector<RequestIdentity>
  private _crash: Promise<IEndpointCrash> | undefined

  constructor (private readonly _options: IEndpointCrashMonitorOptions) {
    this._detector = new CrashDetector({
      connections: _options.connections,
      clock: _options.clock,
      onCrashed: (requests) => { this._crash = this._classify(requests) }
    })
  }

  /** Call when the endpoint broke the exchange of a request. Undefined if the endpoint kept other connections open. */
  public async recordBrokenExchange (request: RequestIdentity): Promise<IEndpointCrash | undefined> {
    const isCrash = await this._detector.recordLostExchange(request)
    return isCrash ? await this._crash : undefined
  }

  private async _classify (requests: readonly RequestIdentity[]): Promise<IEndpointCrash> {
    const { endpoint, log } = this._options
    const cause = await this._canReconnect() ? 'connections' : 'process'
    log.log(ENDPOINT_CONNECTIONS_LOST, {
      step: 'gate.crash', endpoint, cause, fingerprints: requests.map(({ fingerprint }) => fingerprint).join(' ')
    })
    return { cause, requests: requests.length }
  }

  private async _canReconnect (): Promise<boolean> {
    const { connections, clock } = this._options
    const timeout = new CancellationSource()
    const timer = clock.after(RECONNECT_TIMEOUT_MS, () => timeout.cancel())
    try {
      connections.release(await connections.acquire(timeout), true)
      return true
    } catch {
      // Refused or too late: both mean that the endpoint does not accept connections, which the event above reports.
      return false
    } finally {
      timer.dispose()
    }
  }
}
