/** Tells moments of this process by the clock of another one, whose answers say what that clock shows. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** One question and its answer. */
export interface IClockSample {
  /** When the question was sent, by the clock of this process. */
  readonly askedAt: Timestamp
  /** When the answer was read, by the clock of this process. */
  readonly answeredAt: Timestamp
  /** When the answer was given, by the clock of the other process. */
  readonly toldAt: Timestamp
  /** Time from the reading of the question until then. */
  readonly handled: Milliseconds
}

/** Both clocks show whole milliseconds. */
const ROUNDING_MS = 1

/**
 * A question is read after it was asked, an answer is given before it comes: two bounds for what the other clock shows more than
 * this one. The least upper bound holds until an answer disproves it, so that a moment is told too late by the shortest time that
 * a question was under way, and never too early for longer than one answer takes.
 */
export class PeerClock {
  /** Undefined until the first sample. */
  private _ahead: number | undefined

  /** Takes what one answer tells. */
  public note ({ askedAt, answeredAt, toldAt, handled }: IClockSample): void {
    const most = toldAt - handled - askedAt + ROUNDING_MS
    const least = toldAt - answeredAt - ROUNDING_MS
    if (this._ahead === undefined || most < this._ahead || this._ahead < least) this._ahead = most
  }

  /** What the other clock shows at a moment of this process, at the latest; undefined if nothing is known of it. */
  public timeAt (moment: Timestamp): Timestamp | undefined {
    return this._ahead === undefined ? undefined : moment + this._ahead as Timestamp
  }
}
