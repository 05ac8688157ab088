/** Tells a crash of the upstream from the loss of one connection. */
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { UpstreamConnection, UpstreamConnections } from './UpstreamConnections.js'

/** Time in which a dead process's connections are all seen to close. */
const CRASH_WINDOW_MS = 25 as Milliseconds

/** What the watch needs. */
export interface ICrashWatchOptions<TVictim> {
  readonly connections: UpstreamConnections
  readonly clock: IClockService
  /** Called with everything that was cut, if the upstream crashed. */
  readonly onCrashed: (victims: readonly TVictim[]) => void
}

/** A process that dies closes all its connections, also the idle ones; a lost connection closes alone. */
export class CrashWatch<TVictim> {
  private readonly _options: ICrashWatchOptions<TVictim>
  private _openAtFirstCut: readonly UpstreamConnection[] = []
  private _victims: TVictim[] = []
  private _decision: Promise<boolean> | undefined

  constructor (options: ICrashWatchOptions<TVictim>) {
    this._options = options
  }

  /** Takes note of an exchange that the upstream cut; resolves with true if the upstream crashed, after `onCrashed`. */
  public onCut (victim: TVictim): Promise<boolean> {
    this._victims.push(victim)
    if (this._decision === undefined) {
      this._openAtFirstCut = [...this._options.connections.open]
      this._decision = this._options.clock.sleep(CRASH_WINDOW_MS).then(() => this._decide())
    }
    return this._decision
  }

  private _decide (): boolean {
    const victims = this._victims
    const survivors = this._openAtFirstCut.filter((connection) => connection.isOpen)
    this._victims = []
    this._openAtFirstCut = []
    this._decision = undefined
    const isCrash = survivors.length === 0
    if (isCrash) this._options.onCrashed(victims)
    return isCrash
  }
}
