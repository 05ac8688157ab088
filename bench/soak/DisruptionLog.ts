/** Records which faults were active when, so that each guarantee is checked only where the nodes were able to keep it. */
import { EVERYTHING, type DisruptionKind, type Moment, type Subject } from './Types.js'

/** One disruption. */
interface IDisruption {
  readonly kind: DisruptionKind
  readonly subject: Subject
  readonly from: Moment
  until: Moment
}

/** Time after the end of a disruption in which its effects can still be observed, in milliseconds. */
const AFTEREFFECT_MS = 2_500

/** Intervals of all disruptions of a run. */
export class DisruptionLog {
  private readonly _disruptions: IDisruption[] = []

  /** Records the start of a disruption; the returned function records its end. */
  public startDisruption (kind: DisruptionKind, subject: Subject, now: Moment): (now: Moment) => void {
    const disruption: IDisruption = { kind, subject, from: now, until: Infinity }
    this._disruptions.push(disruption)
    return (end) => { disruption.until = end }
  }

  /** Start of the disruption of this kind that is active at `moment`; undefined if there is none. */
  public activeSince (kind: DisruptionKind, subject: Subject, moment: Moment): Moment | undefined {
    const active = this._disruptions.filter(({ from, until }) => from <= moment && until >= moment)
    return active.find((disruption) => disruption.kind === kind && disruption.subject === subject)?.from
  }

  /** Start and end of each disruption of these kinds that affected the subject at any moment of the interval. */
  public overlapping (
    kinds: readonly DisruptionKind[], subject: Subject, from: Moment, until: Moment
  ): ReadonlyArray<readonly [Moment, Moment]> {
    const overlapping = this._disruptions.filter((disruption) => disruption.from <= until && disruption.until >= from)
    return overlapping.filter((disruption) => kinds.includes(disruption.kind) && disruption.subject === subject)
      .map((disruption) => [disruption.from, disruption.until] as const)
  }

  /** True if no disruption of these kinds, nor its aftereffects, affected any of these subjects between `from` and `until`. */
  public isUndisturbed (subjects: readonly Subject[], kinds: readonly DisruptionKind[], from: Moment, until: Moment): boolean {
    return !this._disruptions.some((disruption) => {
      const isNear = disruption.from <= until && disruption.until + AFTEREFFECT_MS >= from
      return isNear && kinds.includes(disruption.kind) && (disruption.subject === EVERYTHING || subjects.includes(disruption.subject))
    })
  }
}
