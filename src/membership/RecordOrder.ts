/** Which of two records of one node is the newer. */
import type { IMemberVersion } from './RecordCodec.js'
import type { MemberState } from './Types.js'

const SEVERITY: Readonly<Record<MemberState, number>> = Object.freeze({ alive: 0, suspect: 1, dead: 2, left: 3 })

/** A record may not raise the incarnation by more than this, so that a faulty peer cannot use up the range. */
const MAXIMUM_INCARNATION_STEP = 1_000_000

/** Incarnation first, then the worse state, then the sequence. */
export function isNewerRecord (candidate: IMemberVersion, held: IMemberVersion | undefined): boolean {
  if (held === undefined) return true
  if (candidate.incarnation !== held.incarnation) return candidate.incarnation > held.incarnation
  if (candidate.state !== held.state) return SEVERITY[candidate.state] > SEVERITY[held.state]
  return candidate.sequence > held.sequence
}

/** Whether the incarnation could have come from the node itself. */
export function hasPlausibleIncarnation (candidate: IMemberVersion, held: IMemberVersion | undefined): boolean {
  return candidate.incarnation - (held?.incarnation ?? 0) <= MAXIMUM_INCARNATION_STEP
}

/** Dead or left. */
export function isGone (state: MemberState): boolean {
  return state === 'dead' || state === 'left'
}
