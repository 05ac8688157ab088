/** Logs periods in which the event loop was blocked: the processor was busy or suspended, or one callback ran too long. */
import type { IClockService, ILogService, IService } from '../../common/Services.js'
import type { IDisposable, Milliseconds } from '../../common/Types.js'
import { PROCESS_DELAYED } from '../Events.js'

/** Dependencies of `EventLoopDelayMonitor`. */
export interface IEventLoopDelayMonitorOptions {
  readonly clock: IClockService
  readonly log: ILogService
  /** Processor time used by this process since its start. */
  readonly processorTime: () => Milliseconds
  /** Number of event loop iterations since the start of the process. */
  readonly eventLoopIterations: () => number
}

/** Each measurement wakes the process. A shorter delay is noticed only if the timer is due during it. */
const INTERVAL_MS = 500 as Milliseconds
/** From this delay on, requests and messages between nodes are noticeably late. */
const MINIMUM_REPORTED_DELAY_MS = 100

/** Measures how late a periodic timer fires. Other callbacks of the process that were due meanwhile waited as well. */
export class EventLoopDelayMonitor implements IService {
  private _timer: IDisposable | undefined

  constructor (private readonly _options: IEventLoopDelayMonitorOptions) {}

  public start (): void {
    const { clock, log, processorTime, eventLoopIterations } = this._options
    let lastAt = clock.now()
    let lastProcessorTime = processorTime()
    let lastIterations = eventLoopIterations()
    this._timer = clock.every(INTERVAL_MS, () => {
      const now = clock.now()
      const currentProcessorTime = processorTime()
      const currentIterations = eventLoopIterations()
      const delay = now - lastAt - INTERVAL_MS
      if (delay >= MINIMUM_REPORTED_DELAY_MS) log.log(PROCESS_DELAYED, { step: 'process.watch', lateMs: delay, processorMs: currentProcessorTime - lastProcessorTime, turns: currentIterations - lastIterations })
      lastAt = now
      lastProcessorTime = currentProcessorTime
      lastIterations = currentIterations
    })
  }

  public stop (): void {
    this._timer?.dispose()
  }
}
