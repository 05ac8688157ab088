/** Estimates the transit time of messages from another node, without comparing the clocks of the two nodes. */
import type { Milliseconds, Timestamp } from '../../common/Types.js'

/** Acknowledgement of a probe; the other node attaches it to each message. */
export interface IProbeEcho {
  /** Number of the last probe that the other node had received when it sent the message. */
  readonly question: number
  /** Time from the arrival of the probe until the message was sent. */
  readonly questionAgo: Milliseconds
}

/** Number that stands for the request that started the messages. */
const INITIAL_PROBE_NUMBER = 0
/** Minimum time between probes. One acknowledgement serves many messages; a new one is needed after either process was suspended. */
const PROBE_INTERVAL_MS = 1_000

/**
 * Sends numbered probes. A probe arrives at the other node after it was sent; so a message that was sent some time after this
 * arrival was sent at least as long after the probe, by the clock of the node that sent the probe.
 */
export class TransitTimeEstimator {
  private _acknowledgedProbeSentAt: Timestamp
  private _acknowledgedProbe = INITIAL_PROBE_NUMBER
  /** The probe that has not been acknowledged yet; undefined if there is none. */
  private _pendingProbe: { readonly number: number, readonly sentAt: Timestamp } | undefined

  /** `requestedAt`: time at which the messages were requested. */
  constructor (requestedAt: Timestamp) {
    this._acknowledgedProbeSentAt = requestedAt
  }

  /** Number of the probe to send now; undefined while a probe is unacknowledged, or if the last one was sent less than the interval ago. */
  public nextProbeNumber (now: Timestamp): number | undefined {
    if (this._pendingProbe !== undefined || now - this._acknowledgedProbeSentAt < PROBE_INTERVAL_MS) return undefined
    this._pendingProbe = { number: this._acknowledgedProbe + 1, sentAt: now }
    return this._pendingProbe.number
  }

  /** The earliest time at which a message received now may have been sent. */
  public earliestSentAt ({ question, questionAgo }: IProbeEcho, now: Timestamp): Timestamp {
    if (question === this._pendingProbe?.number) {
      this._acknowledgedProbe = question
      this._acknowledgedProbeSentAt = this._pendingProbe.sentAt
      this._pendingProbe = undefined
    }
    // If this process was suspended, its clock may have stopped while the clock of the sender continued; the sum is then in the future.
    return Math.min(now, this._acknowledgedProbeSentAt + questionAgo) as Timestamp
  }
}
