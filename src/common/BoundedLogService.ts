/** Limits the rate of logged events. */
import { EVENTS_LEFT_OUT } from './Events.js'
import type { IClockService, IEventDefinition, IEventFields, ILogService } from './Services.js'
import type { Timestamp } from './Types.js'

/** Rate limits of each kind of event. */
export interface IBoundedLogOptions {
  /** Average number of events of one kind per second. */
  readonly perSecond: number
  /** Maximum number of events of one kind in a burst after a period without such events. */
  readonly burst: number
  /** Maximum number of buffered bytes that are not written yet; events above this limit are dropped. */
  readonly waitingBytes: number
}

/** Defaults of `BoundedLogService`. */
export const DEFAULT_BOUNDED_LOG_OPTIONS: IBoundedLogOptions = Object.freeze({ perSecond: 100, burst: 300, waitingBytes: 1_048_576 })

const MILLISECONDS_PER_SECOND = 1_000

/** Token bucket of one kind of event. */
interface IBucket {
  tokens: number
  filledAt: Timestamp
  dropped: number
}

/** Forwards events at a limited rate and logs how many were dropped. Never blocks on the reader of the log. */
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
    const bucket = this._refill(event.number, this._clock.now())
    const isCongested = (this._log.waitingBytes ?? 0) > this._options.waitingBytes
    if (bucket.tokens < 1 || isCongested) {
      bucket.dropped++
      return
    }
    bucket.tokens--
    if (bucket.dropped > 0) this._log.log(EVENTS_LEFT_OUT, { step: 'log.bound', kind: event.name, count: bucket.dropped })
    bucket.dropped = 0
    this._log.log(event, fields)
  }

  private _refill (number: number, now: Timestamp): IBucket {
    const { perSecond, burst } = this._options
    const bucket = this._buckets.get(number) ?? { tokens: burst, filledAt: now, dropped: 0 }
    this._buckets.set(number, bucket)
    bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.filledAt) * perSecond / MILLISECONDS_PER_SECOND)
    bucket.filledAt = now
    return bucket
  }
}
