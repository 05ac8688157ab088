/** What was disturbed when, so that a promise is held against what the node could know and do. */
import { EVERYTHING, type DisruptionKind, type Moment, type Subject } from './Types.js'

/** One disruption. */
interface IDisruption {
  readonly kind: DisruptionKind
  readonly subject: Subject
  readonly from: Moment
  until: Moment
}

/** Time after a disruption in which its effects still show. */
const CONTACT_MS = 2_500

/** Intervals by subject. */
export class DisruptionLog {
  private readonly _disruptions: IDisruption[] = []

  /** Begins a disruption; the function that it gives ends it. */
  public begin (kind: DisruptionKind, subject: Subject, now: Moment): (now: Moment) => void {
    const disruption: IDisruption = { kind, subject, from: now, until: Infinity }
    this._disruptions.push(disruption)
    return (end) => { disruption.until = end }
  }

  /** When the disruption of this kind that goes on at `moment` began; undefined if there is none. */
  public begunAt (kind: DisruptionKind, subject: Subject, moment: Moment): Moment | undefined {
    const goingOn = this._disruptions.filter(({ from, until }) => from <= moment && until >= moment)
    return goingOn.find((disruption) => disruption.kind === kind && disruption.subject === subject)?.from
  }

  /** Disruptions of these kinds that concerned the subject at some moment of the span, by their beginnings and ends. */
  public during (
    kinds: readonly DisruptionKind[], subject: Subject, from: Moment, until: Moment
  ): ReadonlyArray<readonly [Moment, Moment]> {
    const met = this._disruptions.filter((disruption) => disruption.from <= until && disruption.until >= from)
    return met.filter((disruption) => kinds.includes(disruption.kind) && disruption.subject === subject)
      .map((disruption) => [disruption.from, disruption.until] as const)
  }

  /** True if nothing of these kinds concerned any of these subjects from shortly before `from` until `until`. */
  public isCalm (subjects: readonly Subject[], kinds: readonly DisruptionKind[], from: Moment, until: Moment): boolean {
    return !this._disruptions.some((disruption) => {
      const isNear = disruption.from <= until && disruption.until + CONTACT_MS >= from
      return isNear && kinds.includes(disruption.kind) && (disruption.subject === EVERYTHING || subjects.includes(disruption.subject))
    })
  }
}
