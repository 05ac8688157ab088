/** Watches the answer of one attempt on its way to the caller. */
import type { IncomingHttpHeaders } from 'node:http'
import type { IClockService } from '../common/Services.js'
import type { IEvent, Timestamp } from '../common/Types.js'
import { HEADER, type IAnswerSink } from '../gate/Types.js'
import { parseOccupancy, withoutOwnHeaders, type IReportedOccupancy } from './AnswerHeaders.js'
import { SERVICE_UNAVAILABLE } from './RetryRules.js'

/** What an attempt's sink needs. */
export interface IAttemptSinkOptions {
  readonly sink: IAnswerSink
  /** Largest answer in bytes. */
  readonly limitBytes: number
  /** Asked about an answer of 503; true if it is to be dropped because the call will be tried again. */
  readonly holdBack: () => boolean
  readonly clock: IClockService
}

/** Takes off the headers between nodes, reads the occupancy, enforces the size limit. */
export class AttemptSink implements IAnswerSink {
  /** Occupancy that the answer carried. */
  public occupancy: IReportedOccupancy | undefined
  /** When the head of the answer arrived; undefined before. */
  public begunAt: Timestamp | undefined
  /** True if an answer of 503 was dropped for the sake of a retry. */
  public isHeldBack = false
  /** True if the answer was broken off because it was too large. */
  public isTooLarge = false
  private _bytes = 0

  constructor (private readonly _options: IAttemptSinkOptions) {}

  public get hasBegun (): boolean {
    return this._options.sink.hasBegun
  }

  public get onDrained (): IEvent<void> {
    return this._options.sink.onDrained
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this.occupancy = parseOccupancy(headers[HEADER.occupancy])
    this.begunAt = this._options.clock.now()
    if (status === SERVICE_UNAVAILABLE && this._options.holdBack()) {
      this.isHeldBack = true
      return
    }
    const kept = withoutOwnHeaders(headers)
    if (Number(kept['content-length'] ?? 0) > this._options.limitBytes) return this._refuseSize(status, kept)
    this._options.sink.begin(status, kept)
  }

  public write (chunk: Uint8Array): boolean {
    if (this.isHeldBack || this.isTooLarge) return true
    this._bytes += chunk.byteLength
    if (this._bytes <= this._options.limitBytes) return this._options.sink.write(chunk)
    this.isTooLarge = true
    this._options.sink.abort()
    return true
  }

  public end (): void {
    if (!this.isHeldBack && !this.isTooLarge) this._options.sink.end()
  }

  public abort (): void {
    if (!this.isHeldBack) this._options.sink.abort()
  }

  /** A part never looks whole: the caller's connection breaks before the body. */
  private _refuseSize (status: number, headers: IncomingHttpHeaders): void {
    this.isTooLarge = true
    this._options.sink.begin(status, headers)
    this._options.sink.abort()
  }
}
