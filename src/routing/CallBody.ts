/** The body of a call, for one or more attempts. */
import type { Readable } from 'node:stream'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import { BodyRelay } from '../gate/BodyRelay.js'
import { readBodyStart, type IBodyStart } from '../gate/BodyStart.js'
import type { NotRunReason } from '../gate/Types.js'
import type { RoutedCall } from './RoutedCall.js'

/** Bodies up to this size are kept in memory, so that they can be sent again. */
export const MAXIMUM_REPLAYABLE_BYTES = 65_536

/** Buffers small bodies completely; streams large ones once. */
export class CallBody {
  private _content: Buffer | undefined
  private _relay: BodyRelay | undefined

  constructor (private readonly _source: Readable | undefined, private readonly _limitBytes: number) {}

  /** True if another attempt would receive the complete body. */
  public get isReplayable (): boolean {
    return this._source === undefined || this._content !== undefined || !this._source.readableDidRead
  }

  /** True if a streamed body exceeded its limit. */
  public get isTooLarge (): boolean {
    return this._relay?.isExceeded === true
  }

  /** Reads a small body and stores it in the call. Returns the reason if the call is refused, otherwise undefined. */
  public async prepare (call: RoutedCall, clock: IClockService): Promise<NotRunReason | undefined> {
    if (this._source === undefined || (call.bodyBytes ?? 0) > MAXIMUM_REPLAYABLE_BYTES) return undefined
    const start = await this._readByDeadline(this._source, call, clock)
    if (typeof start === 'string') return start
    if (start.content.byteLength > this._limitBytes) return 'too-large'
    if (start.isWhole) {
      this._content = start.content
      call.bodyContent = start.content
    } else if (call.bodyBytes === undefined) {
      call.body = this._limit(this._source)
    }
    return undefined
  }

  private _limit (source: Readable): Readable {
    this._relay = new BodyRelay(source, { maximumBytes: this._limitBytes })
    this._relay.on('error', () => undefined)
    return this._relay
  }

  private _readByDeadline (source: Readable, call: RoutedCall, clock: IClockService): Promise<IBodyStart | NotRunReason> {
    return new Promise((resolve) => {
      const timer = clock.after(call.deadlineAt - clock.now() as Milliseconds, () => resolve('deadline'))
      readBodyStart(source, MAXIMUM_REPLAYABLE_BYTES).catch(() => 'cancelled' as const).then((start) => {
        timer.dispose()
        resolve(start)
      })
    })
  }
}
