/** Filters the response of one attempt before it is written to the caller. */
import type { IncomingHttpHeaders } from 'node:http'
import type { IClockService } from '../common/Services.js'
import type { IEvent, Timestamp } from '../common/Types.js'
import { HEADER, type IAnswerSink } from '../gate/Types.js'
import { parseOccupancy, withoutInternalHeaders, type IReportedOccupancy } from './ResponseHeaders.js'
import { SERVICE_UNAVAILABLE } from './RetryRules.js'

/** Dependencies and limits of `AttemptSink`. */
export interface IAttemptSinkOptions {
  readonly sink: IAnswerSink
  /** Maximum size of the response body in bytes. */
  readonly limitBytes: number
  /** Called for a 503 response; returns true if the response must be discarded because the call will be retried. */
  readonly shouldDiscard: () => boolean
  readonly clock: IClockService
}

/** Parses the reported occupancy, removes the headers between nodes, and enforces the size limit. */
export class AttemptSink implements IAnswerSink {
  /** Occupancy reported in the response. */
  public occupancy: IReportedOccupancy | undefined
  /** Time at which the head of the response arrived; undefined before. */
  public responseStartedAt: Timestamp | undefined
  /** True if a 503 response was discarded because the call will be retried. */
  public isDiscarded = false
  /** True if the response was aborted because it was too large. */
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
    this.responseStartedAt = this._options.clock.now()
    if (status === SERVICE_UNAVAILABLE && this._options.shouldDiscard()) {
      this.isDiscarded = true
      return
    }
    const endToEndHeaders = withoutInternalHeaders(headers)
    if (Number(endToEndHeaders['content-length'] ?? 0) > this._options.limitBytes) return this._rejectOversized(status, endToEndHeaders)
    this._options.sink.begin(status, endToEndHeaders)
  }

  public write (chunk: Uint8Array): boolean {
    if (this.isDiscarded || this.isTooLarge) return true
    this._bytes += chunk.byteLength
    if (this._bytes <= this._options.limitBytes) return this._options.sink.write(chunk)
    this.isTooLarge = true
    this._options.sink.abort()
    return true
  }

  public end (): void {
    if (!this.isDiscarded && !this.isTooLarge) this._options.sink.end()
  }

  public abort (): void {
    if (!this.isDiscarded) this._options.sink.abort()
  }

  /** Closes the caller's connection after the head, so that a truncated response never looks complete. */
  private _rejectOversized (status: number, headers: IncomingHttpHeaders): void {
    this.isTooLarge = true
    this._options.sink.begin(status, headers)
    this._options.sink.abort()
  }
}
