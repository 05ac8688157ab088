/** Advances a manual clock until a task settles. */
import type { ManualClock } from './ManualClock.js'

/** Time by which the clock is advanced per step. */
const STEP_MS = 5
/** Number of steps after which the task is considered stuck. */
const MAXIMUM_STEPS = 200_000

/** Advances `clock` until `task` settles; resolves or rejects with the result of `task`. */
export async function advanceUntilSettled<TResult> (clock: ManualClock, task: Promise<TResult>): Promise<TResult> {
  const state = { isSettled: false }
  const settle = (): void => { state.isSettled = true }
  task.then(settle, settle)
  for (let step = 0; step < MAXIMUM_STEPS; step++) {
    await clock.advance(STEP_MS)
    if (state.isSettled) return await task
  }
  throw new Error('the task did not settle')
}
