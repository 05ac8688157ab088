/** Estimates the offset of another process's clock from the timestamps in its responses. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** Timestamps of one request to the other process and its response. */
export interface IClockSample {
  /** When the request was sent, by the clock of this process. */
  readonly sentAt: Timestamp
  /** When the response was read, by the clock of this process. */
  readonly receivedAt: Timestamp
  /** When the response was written, by the clock of the other process. */
  readonly reportedAt: Timestamp
  /** Time from reading the request to writing the response, at the other process. */
  readonly handled: Milliseconds
}

/** Maximum rounding error, since both clocks have a resolution of one millisecond. */
const ROUNDING_MS = 1

/**
 * A request is read after it was sent, and a response is written before it is received. Each exchange therefore gives an upper and a
 * lower bound of the offset between the clocks. The estimate is the smallest upper bound so far, until a sample contradicts it because
 * one of the clocks was suspended. Converted times are late by at most the shortest transit time of a request. After a suspension they
 * may be early, but only until the next response.
 */
export class PeerClock {
  /** Milliseconds by which the other clock is ahead of this one, at most; undefined before the first sample. */
  private _offset: number | undefined

  /** Updates the offset with the timestamps of one exchange. */
  public recordSample ({ sentAt, receivedAt, reportedAt, handled }: IClockSample): void {
    const upperBound = reportedAt - handled - sentAt + ROUNDING_MS
    const lowerBound = reportedAt - receivedAt - ROUNDING_MS
    if (this._offset === undefined || upperBound < this._offset || this._offset < lowerBound) this._offset = upperBound
  }

  /** Converts a time of this process to the latest possible time of the other clock; undefined before the first sample. */
  public timeAt (time: Timestamp): Timestamp | undefined {
    return this._offset === undefined ? undefined : time + this._offset as Timestamp
  }
}
