/** Lets a process read all input that has already arrived before it acts on a part of it. */
import { performance } from 'node:perf_hooks'
import { eventLoopIterations } from './EventLoopIterations.js'

/** Input older than this may be unread: the process was blocked or suspended since it last started to read. */
const MAXIMUM_UNREAD_AGE_MS = 50
/** Maximum number of read rounds. Without a limit, a permanently slow process would never stop waiting. */
const MAXIMUM_READ_ROUNDS = 4

/** Start of the last finished read round, by the clock of `performance.now()`. */
let lastReadStartedAt = -Infinity

/**
 * Resolves once the event loop has read the input that had arrived at the time of the call. A process that was busy or suspended
 * finds many messages at once, and a later message may cancel an earlier one.
 */
export async function waitForPendingInput (): Promise<void> {
  for (let round = 0; round < MAXIMUM_READ_ROUNDS; round++) {
    const startedAt = performance.now()
    await nextReadRound()
    lastReadStartedAt = startedAt
    if (hasReadPendingInput()) return
  }
}

/**
 * Waits for pending input only if the event loop has started a further iteration since `iteration`, in which input was last read, or
 * if the process was blocked since then.
 */
export async function waitForPendingInputSince (iteration: number): Promise<void> {
  if (eventLoopIterations() !== iteration || !hasReadPendingInput()) await waitForPendingInput()
}

/**
 * True if everything that arrived up to a short time ago has been read. False after the process was blocked or suspended, even within
 * one iteration of the event loop.
 */
export function hasReadPendingInput (): boolean {
  return performance.now() - lastReadStartedAt < MAXIMUM_UNREAD_AGE_MS
}

function nextReadRound (): Promise<void> {
  // The outer callback runs before the event loop polls for input again, the inner one after the poll.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)))
}
