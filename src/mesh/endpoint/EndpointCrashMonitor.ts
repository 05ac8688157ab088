/** Determines whether the local endpoint ended when an exchange with it broke. */
import { CancellationSource } from '../../common/Cancellation.js'
import { createRequestId } from '../../common/Ids.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { EndpointId, Milliseconds, RequestFingerprint } from '../../common/Types.js'
import { CrashDetector } from '../../gate/CrashDetector.js'
import type { UpstreamConnections } from '../../gate/UpstreamConnections.js'
import { ENDPOINT_CONNECTIONS_LOST } from '../Events.js'
import type { RequestIdentity } from '../crashes/RequestIdentity.js'
import type { CrashId, CrashKind, ICrashRecord } from '../Types.js'

/** Dependencies of `EndpointCrashMonitor`. */
export interface IEndpointCrashMonitorOptions {
  readonly connections: UpstreamConnections
  readonly endpoint: EndpointId
  readonly clock: IClockService
  readonly log: ILogService
}

/** Crash records of one crash, by request. */
type CrashRecords = ReadonlyMap<RequestFingerprint, ICrashRecord>

/** Maximum wait for a connection that shows that the endpoint is still running; it is on the same VM. */
const RECONNECT_TIMEOUT_MS = 100 as Milliseconds

/** Observes the connections to one incarnation of the endpoint. */
export class EndpointCrashMonitor {
  private readonly _detector: CrashDetector<RequestIdentity>
  private _records: Promise<CrashRecords> | undefined
  private _isStopped = false

  constructor (private readonly _options: IEndpointCrashMonitorOptions) {
    this._detector = new CrashDetector({
      connections: _options.connections,
      clock: _options.clock,
      onCrashed: (requests) => { this._records = this._classify(requests) }
    })
  }

  /** From now on a loss of connections is no crash: the endpoint is leaving, or this node closes the connections itself. */
  public stop (): void {
    this._isStopped = true
  }

  /** Call when the endpoint broke the exchange of a request. Undefined if the endpoint kept other connections open. */
  public async recordBrokenExchange (request: RequestIdentity): Promise<ICrashRecord | undefined> {
    if (this._isStopped || !await this._detector.recordLostExchange(request)) return undefined
    const records = await this._records
    return records?.get(request.fingerprint)
  }

  private async _classify (requests: readonly RequestIdentity[]): Promise<CrashRecords> {
    const { endpoint, log } = this._options
    const kind = await this._classifyLoss(requests.length)
    log.log(ENDPOINT_CONNECTIONS_LOST, {
      step: 'gate.crash', endpoint, kind, fingerprints: requests.map(({ fingerprint }) => fingerprint).join(' ')
    })
    return new Map(requests.map(({ fingerprint }) => [fingerprint, { id: createRequestId() as string as CrashId, fingerprint, kind }]))
  }

  private async _classifyLoss (requests: number): Promise<CrashKind> {
    if (await this._canReconnect()) return 'connections'
    return requests === 1 ? 'process-alone' : 'process'
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
