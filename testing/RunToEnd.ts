/** Drives a manual clock until a task is done. */
import type { ManualClock } from './ManualClock.js'

/** Time by which the clock is moved at once, in milliseconds. */
const STEP_MS = 5
/** A task that is not done after this many steps never will be. */
const MAXIMUM_STEPS = 200_000

/** Advances `clock` until `task` settles; answers as `task` does. */
export async function runToEnd<TResult> (clock: ManualClock, task: Promise<TResult>): Promise<TResult> {
  const state = { isSettled: false }
  const settle = (): void => { state.isSettled = true }
  task.then(settle, settle)
  for (let step = 0; step < MAXIMUM_STEPS; step++) {
    await clock.advance(STEP_MS)
    if (state.isSettled) return await task
  }
  throw new Error('the task did not end')
}
