/** The only prober of one upstream. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, Timestamp } from '../common/Types.js'
import type { UpstreamConnection, UpstreamConnections } from './UpstreamConnections.js'

/** What one probe saw. `draining`: the upstream itself asks for no new work. */
export type ProbeResult = 'healthy' | 'unhealthy' | 'draining' | 'unreachable'

/** What a probe needs. */
export interface IHealthProbeOptions {
  readonly connections: UpstreamConnections
  readonly clock: IClockService
  readonly onResult: (result: ProbeResult, now: Timestamp) => void
}

/** A probe that takes longer has failed. */
const PROBE_TIMEOUT_MS = 1_000
/** Time until the next probe while the upstream is not well, if that is sooner than its interval. */
const RECOVERY_INTERVAL_MS = 250
const MAXIMUM_BODY_BYTES = 4_096
/** Body by which an upstream says that it drains. */
const DRAINING_PATTERN = /\bdraining\b/i

/** Asks the health endpoint again and again; one probe at a time. */
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

  /** Sets path and interval; the first probe goes out at once. */
  public configure (path: string, interval: Milliseconds): void {
    if (path === this._path && interval === this._interval) return
    this._path = path
    this._interval = interval
    this._timer?.dispose()
    this._timer = this._options.clock.every(interval, () => { this.probeNow() })
    this.probeNow()
  }

  /** Probes at once, unless a probe is under way. */
  public probeNow (): void {
    if (this._isProbing || this.isDisposed || this._interval === 0) return
    this._isProbing = true
    this._probe().then((result) => {
      this._isProbing = false
      if (this.isDisposed) return
      if (result !== 'healthy') this._probeSoon()
      this._options.onResult(result, this._options.clock.now())
    }, () => { this._isProbing = false })
  }

  public override dispose (): void {
    super.dispose()
    this._timer?.dispose()
    this._recoveryTimer?.dispose()
  }

  private _probeSoon (): void {
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
    const result = await this._ask(connection)
    this._options.connections.release(connection, result !== 'unreachable')
    return result
  }

  private async _ask (connection: UpstreamConnection): Promise<ProbeResult> {
    const timeout = this._options.clock.after(PROBE_TIMEOUT_MS as Milliseconds, () => { connection.close() })
    try {
      const answer = await connection.client.request({ path: this._path, method: 'GET' })
      const text = await readText(answer.body)
      if (answer.statusCode >= 200 && answer.statusCode < 300) return 'healthy'
      return DRAINING_PATTERN.test(text) ? 'draining' : 'unhealthy'
    } catch {
      return 'unreachable'
    } finally {
      timeout.dispose()
    }
  }
}

/** Text of a small body; a larger one is an error. */
async function readText (body: AsyncIterable<Buffer>): Promise<string> {
  let text = ''
  for await (const chunk of body) {
    text += chunk.toString('latin1')
    if (text.length > MAXIMUM_BODY_BYTES) throw new Error('health answer too large')
  }
  return text
}
