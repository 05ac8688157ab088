/** Determines which of two records of one node is newer. */
import type { IMemberVersion } from './RecordCodec.js'
import type { MemberState } from './Types.js'

const SEVERITY: Readonly<Record<MemberState, number>> = Object.freeze({ alive: 0, suspect: 1, dead: 2, left: 3 })

/** Largest accepted increase of an incarnation; a faulty peer could otherwise exhaust the range of incarnation numbers. */
const MAXIMUM_INCARNATION_STEP = 1_000_000

/** Compares the incarnation first, then the severity of the state, then the sequence. */
export function isNewerRecord (candidate: IMemberVersion, current: IMemberVersion | undefined): boolean {
  if (current === undefined) return true
  if (candidate.incarnation !== current.incarnation) return candidate.incarnation > current.incarnation
  if (candidate.state !== current.state) return SEVERITY[candidate.state] > SEVERITY[current.state]
  return candidate.sequence > current.sequence
}

/** Whether the node itself may have reached this incarnation since the current record. */
export function isIncarnationPlausible (candidate: IMemberVersion, current: IMemberVersion | undefined): boolean {
  return candidate.incarnation - (current?.incarnation ?? 0) <= MAXIMUM_INCARNATION_STEP
}

export function isDeadOrLeft (state: MemberState): boolean {
  return state === 'dead' || state === 'left'
}
