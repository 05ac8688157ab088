/** Distinguishes a crash of the upstream from the loss of a single connection. */
import { waitForPendingInput } from '../common/PendingInput.js'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { UpstreamConnection, UpstreamConnections } from './UpstreamConnections.js'

/** Time within which the close of all connections of a terminated process is observed. */
const CRASH_WINDOW_MS = 25 as Milliseconds

/** Options of `CrashDetector`. */
export interface ICrashDetectorOptions<TLostExchange> {
  readonly connections: UpstreamConnections
  readonly clock: IClockService
  /** Called with all exchanges that lost their connection, if the upstream crashed. */
  readonly onCrashed: (lostExchanges: readonly TLostExchange[]) => void
}

/**
 * Detects a crash by its connections: a process that terminates closes all of them, including the idle ones, whereas a network
 * fault or an error in one exchange closes a single connection.
 */
export class CrashDetector<TLostExchange> {
  private readonly _options: ICrashDetectorOptions<TLostExchange>
  private _openAtFirstLoss: readonly UpstreamConnection[] = []
  private _lostExchanges: TLostExchange[] = []
  private _decision: Promise<boolean> | undefined

  constructor (options: ICrashDetectorOptions<TLostExchange>) {
    this._options = options
  }

  /** Records an exchange whose connection the upstream closed. Resolves with true if the upstream crashed, after `onCrashed` was called. */
  public recordLostExchange (lostExchange: TLostExchange): Promise<boolean> {
    this._lostExchanges.push(lostExchange)
    if (this._decision === undefined) {
      this._openAtFirstLoss = [...this._options.connections.open]
      // After a delay of the event loop, the close of the other connections may have arrived and be unread.
      this._decision = this._options.clock.sleep(CRASH_WINDOW_MS).then(waitForPendingInput).then(() => this._decide())
    }
    return this._decision
  }

  private _decide (): boolean {
    const lostExchanges = this._lostExchanges
    const stillOpen = this._openAtFirstLoss.filter((connection) => connection.isOpen)
    this._lostExchanges = []
    this._openAtFirstLoss = []
    this._decision = undefined
    const isCrash = stillOpen.length === 0
    if (isCrash) this._options.onCrashed(lostExchanges)
    return isCrash
  }
}
