/** Health probe of one upstream. No other component of the node probes it. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../common/Types.js'
import type { UpstreamConnection, UpstreamConnections } from './UpstreamConnections.js'

/** Result of one probe. `draining`: the upstream itself requests to receive no new requests. */
export type ProbeResult = 'healthy' | 'unhealthy' | 'draining' | 'unreachable'

/** Options of `HealthProbe`. */
export interface IHealthProbeOptions {
  readonly connections: UpstreamConnections
  readonly clock: IClockService
  readonly onResult: (result: ProbeResult, now: Timestamp) => void
}

/** Timeout of a probe. */
const PROBE_TIMEOUT_MS = 1_000
/** Delay until the next probe while the upstream is not healthy, if it is shorter than the configured interval. */
const RECOVERY_INTERVAL_MS = 250
const MAXIMUM_BODY_BYTES = 4_096
/** Matches the response body of an upstream that is draining. */
const DRAINING_PATTERN = /\bdraining\b/i

/** Requests the health path periodically; one probe at a time. */
export class HealthProbe extends Disposable {
  private readonly _options: IHealthProbeOptions
  private _timer: IDisposable | undefined
  private _recoveryTimer: IDisposable | undefined
  private _path = '/'
  private _interval = 0 as Milliseconds
  private _isProbing = false

  constructor (options: IHealthProbeOptions) {
    super()
    this._options = options
  }

  /** Sets path and interval; the first probe is sent immediately. */
  public configure (path: string, interval: Milliseconds): void {
    if (path === this._path && interval === this._interval) return
    this._path = path
    this._interval = interval
    this._timer?.dispose()
    this._timer = this._options.clock.every(interval, () => { this.probeNow() })
    this.probeNow()
  }

  /** Probes immediately, unless a probe is in progress. */
  public probeNow (): void {
    if (this._isProbing || this.isDisposed || this._interval === 0) return
    this._isProbing = true
    this._probe().then((result) => {
      this._isProbing = false
      if (this.isDisposed) return
      if (result !== 'healthy') this._scheduleRecoveryProbe()
      this._options.onResult(result, this._options.clock.now())
    }, () => { this._isProbing = false })
  }

  public override dispose (): void {
    super.dispose()
    this._timer?.dispose()
    this._recoveryTimer?.dispose()
  }

  private _scheduleRecoveryProbe (): void {
    if (this._interval <= RECOVERY_INTERVAL_MS) return
    this._recoveryTimer?.dispose()
    this._recoveryTimer = this._options.clock.after(RECOVERY_INTERVAL_MS as Milliseconds, () => { this.probeNow() })
  }

  private async _probe (): Promise<ProbeResult> {
    let connection: UpstreamConnection
    try {
      connection = await this._options.connections.acquire()
    } catch {
      return 'unreachable'
    }
    const result = await this._requestHealth(connection)
    this._options.connections.release(connection, result !== 'unreachable')
    return result
  }

  private async _requestHealth (connection: UpstreamConnection): Promise<ProbeResult> {
    const timeout = this._options.clock.after(PROBE_TIMEOUT_MS as Milliseconds, () => { connection.close() })
    try {
      const response = await connection.client.request({ path: this._path, method: 'GET' })
      const text = await readText(response.body)
      if (response.statusCode >= 200 && response.statusCode < 300) return 'healthy'
      return DRAINING_PATTERN.test(text) ? 'draining' : 'unhealthy'
    } catch {
      return 'unreachable'
    } finally {
      timeout.dispose()
    }
  }
}

/** Text of a body; throws if it exceeds the limit. */
async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  let text = ''
  for await (const chunk of body) {
    text += chunk.toString('latin1')
    if (text.length > MAXIMUM_BODY_BYTES) throw new Error('health response too large')
  }
  return text
}
