/** The body of a call across its attempts. */
import type { Readable } from 'node:stream'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { NotRunReason } from '../gate/Types.js'
import { BodyLimiter } from './BodyLimiter.js'
import { BufferedBody, readBody, type BodyReading } from './BufferedBody.js'
import type { RoutedCall } from './RoutedCall.js'

/** Bodies up to this size are held, so that they can be sent again. */
export const REPLAY_LIMIT_BYTES = 65_536

/** Holds small bodies whole; passes large ones through once. */
export class CallBody {
  private _content: Buffer | undefined
  private _limiter: BodyLimiter | undefined
  private _isGiven = false

  constructor (private readonly _source: Readable | undefined, private readonly _limitBytes: number) {}

  /** True if another attempt would get the whole body. */
  public get isRepeatable (): boolean {
    return this._source === undefined || this._content !== undefined || !this._source.readableDidRead
  }

  /** True if the body was longer than its limit. */
  public get isTooLarge (): boolean {
    return this._limiter?.isExceeded === true
  }

  /** Reads a small body. Returns why the call can't be made, or undefined. */
  public async prepare (call: RoutedCall, clock: IClockService): Promise<NotRunReason | undefined> {
    if (this._source === undefined || call.bodyBytes === undefined || call.bodyBytes > REPLAY_LIMIT_BYTES) return undefined
    const reading = await this._readInTime(this._source, call, clock)
    if (reading === 'late') return 'deadline'
    if (reading === 'broken') return 'cancelled'
    if (reading === 'too-large') return 'too-large'
    this._content = reading
    return undefined
  }

  /** The body for one attempt. */
  public next (call: RoutedCall): Readable | undefined {
    if (this._source === undefined) return undefined
    if (this._content !== undefined) return new BufferedBody(this._content)
    if (call.bodyBytes !== undefined || this._isGiven) return this._limiter ?? this._source
    this._isGiven = true
    this._limiter = new BodyLimiter(this._limitBytes)
    this._limiter.on('error', () => undefined)
    return this._source.pipe(this._limiter)
  }

  private _readInTime (source: Readable, call: RoutedCall, clock: IClockService): Promise<BodyReading | 'late'> {
    return new Promise((resolve) => {
      const timer = clock.after(call.deadlineAt - clock.now() as Milliseconds, () => resolve('late'))
      readBody(source, REPLAY_LIMIT_BYTES).then((reading) => {
        timer.dispose()
        resolve(reading)
      })
    })
  }
}
