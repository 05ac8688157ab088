/** Lets a process read all input that has already arrived before it acts on a part of it. */
import { performance } from 'node:perf_hooks'
import { eventLoopIterations } from './EventLoopIterations.js'

/** A round of reading that takes longer means that the process was blocked or suspended, possibly after it had read. */
const SUSPENDED_READ_MS = 100
/** Maximum number of read rounds. Without a limit, a permanently slow process would never stop waiting. */
const MAXIMUM_READ_ROUNDS = 3

/**
 * Resolves once the event loop has read the input that had arrived at the time of the call. A process that was busy or suspended
 * finds many messages at once, and a later message may cancel an earlier one.
 */
export async function waitForPendingInput (): Promise<void> {
  for (let round = 0; round < MAXIMUM_READ_ROUNDS; round++) {
    const startedAt = performance.now()
    await nextReadRound()
    if (performance.now() - startedAt < SUSPENDED_READ_MS) return
  }
}

/** Waits for pending input only if the event loop has started a further iteration since `iteration`, in which input was last read. */
export async function waitForPendingInputSince (iteration: number): Promise<void> {
  if (eventLoopIterations() !== iteration) await waitForPendingInput()
}

function nextReadRound (): Promise<void> {
  // The outer callback runs before the event loop polls for input again, the inner one after the poll.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)))
}
