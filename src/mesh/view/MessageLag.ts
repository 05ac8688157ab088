/** Tells how long the messages of another node are under way, whatever the clocks of the two nodes show. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** What the other side says with a message. */
export interface ILagAnswer {
  /** Number of the last question that it had received. */
  readonly question: number
  /** Time from that question's arrival until the message was sent. */
  readonly questionAgo: Milliseconds
}

/** The first message was requested by the question with this number. */
const FIRST_QUESTION = 0
/** One answer holds for some time; a new one is needed after either process was suspended. */
const QUESTION_INTERVAL_MS = 1_000

/**
 * A question reaches the other side after it was asked. So what the other side did some time after its arrival happened at
 * least as long after the asking, by the clock of the node that asked.
 */
export class MessageLag {
  private _answeredAt: Timestamp
  private _answered = FIRST_QUESTION
  /** The question that is under way; undefined if none is. */
  private _asked: { readonly question: number, readonly at: Timestamp } | undefined

  /** `requestedAt`: when the messages were asked for. */
  constructor (requestedAt: Timestamp) {
    this._answeredAt = requestedAt
  }

  /** Number of a question to be sent now; undefined while another one is under way, or shortly after it. */
  public ask (now: Timestamp): number | undefined {
    if (this._asked !== undefined || now - this._answeredAt < QUESTION_INTERVAL_MS) return undefined
    this._asked = { question: this._answered + 1, at: now }
    return this._asked.question
  }

  /** The earliest moment at which a message that has come now may have been sent. */
  public sentAt ({ question, questionAgo }: ILagAnswer, now: Timestamp): Timestamp {
    if (question === this._asked?.question) {
      this._answered = question
      this._answeredAt = this._asked.at
      this._asked = undefined
    }
    // The time of a process that was suspended goes on elsewhere.
    return Math.min(now, this._answeredAt + questionAgo) as Timestamp
  }
}
