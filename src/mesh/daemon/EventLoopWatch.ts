/** Tells when this process could not run for a while: its processor was busy or taken away, or one step took too long. */
import type { IClockService, ILogService, IService } from '../../common/Services.js'
import type { IDisposable, Milliseconds } from '../../common/Types.js'
import { PROCESS_DELAYED } from '../Events.js'

/** What the watch needs. */
export interface IEventLoopWatchOptions {
  readonly clock: IClockService
  readonly log: ILogService
  /** Processor time that this process has used so far. */
  readonly processorTime: () => Milliseconds
  /** Turns of the event loop so far. */
  readonly turns: () => number
}

const INTERVAL_MS = 100 as Milliseconds
/** Lateness from which requests and messages between nodes suffer. */
const NOTICED_LATENESS_MS = 100

/** A timer that fires late was not alone: everything in the process waited as long. */
export class EventLoopWatch implements IService {
  private _timer: IDisposable | undefined

  constructor (private readonly _options: IEventLoopWatchOptions) {}

  public start (): void {
    const { clock, log, processorTime, turns } = this._options
    let lastAt = clock.now()
    let lastTime = processorTime()
    let lastTurn = turns()
    this._timer = clock.every(INTERVAL_MS, () => {
      const now = clock.now()
      const time = processorTime()
      const turn = turns()
      const late = now - lastAt - INTERVAL_MS
      if (late >= NOTICED_LATENESS_MS) log.log(PROCESS_DELAYED, { step: 'process.watch', lateMs: late, processorMs: time - lastTime, turns: turn - lastTurn })
      lastAt = now
      lastTime = time
      lastTurn = turn
    })
  }

  public stop (): void {
    this._timer?.dispose()
  }
}
