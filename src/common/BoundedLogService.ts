/** Keeps the volume of the log bounded. */
import { EVENTS_LEFT_OUT } from './Events.js'
import type { IClockService, IEventDefinition, IEventFields, ILogService } from './Services.js'
import type { Timestamp } from './Types.js'

/** Volume of each kind of event. */
export interface IBoundedLogOptions {
  /** Events of one kind in a second, on average. */
  readonly perSecond: number
  /** Events of one kind at once after a quiet time. */
  readonly burst: number
  /** Bytes that may wait to be written; above that, events are left out. */
  readonly waitingBytes: number
}

/** Defaults of `BoundedLogService`. */
export const DEFAULT_BOUNDED_LOG_OPTIONS: IBoundedLogOptions = Object.freeze({ perSecond: 100, burst: 300, waitingBytes: 1_048_576 })

const MILLISECONDS_PER_SECOND = 1_000

/** One kind of event. */
interface IBucket {
  tokens: number
  filledAt: Timestamp
  leftOut: number
}

/** Passes events on at a bounded rate and says how many were left out. Never waits for the reader of the log. */
export class BoundedLogService implements ILogService {
  private readonly _options: IBoundedLogOptions
  private readonly _buckets = new Map<number, IBucket>()

  constructor (
    private readonly _log: ILogService & { readonly waitingBytes?: number },
    private readonly _clock: IClockService,
    options: Partial<IBoundedLogOptions> = {}
  ) {
    this._options = { ...DEFAULT_BOUNDED_LOG_OPTIONS, ...options }
  }

  public log (event: IEventDefinition, fields?: IEventFields): void {
    const bucket = this._fill(event.number, this._clock.now())
    const isCongested = (this._log.waitingBytes ?? 0) > this._options.waitingBytes
    if (bucket.tokens < 1 || isCongested) {
      bucket.leftOut++
      return
    }
    bucket.tokens--
    if (bucket.leftOut > 0) this._log.log(EVENTS_LEFT_OUT, { step: 'log.bound', kind: event.name, count: bucket.leftOut })
    bucket.leftOut = 0
    this._log.log(event, fields)
  }

  private _fill (number: number, now: Timestamp): IBucket {
    const { perSecond, burst } = this._options
    const bucket = this._buckets.get(number) ?? { tokens: burst, filledAt: now, leftOut: 0 }
    this._buckets.set(number, bucket)
    bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.filledAt) * perSecond / MILLISECONDS_PER_SECOND)
    bucket.filledAt = now
    return bucket
  }
}
