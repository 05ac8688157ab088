/** Lets a process look at what it has already been sent before it acts on a part of it. */
import { loopTurns } from './LoopTurns.js'

/**
 * Resolves once the event loop has read what had arrived by now. A process that was busy or suspended finds many messages at
 * once; one that takes back an earlier one may lie behind it.
 */
export function pendingInputRead (): Promise<void> {
  // The first of these runs before the loop reads again, the second one after it.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)))
}

/** As `pendingInputRead` for work that has had to wait; resolves at once in the turn in which what had arrived was read last. */
export async function pendingInputReadSince (turn: number): Promise<void> {
  if (loopTurns() !== turn) await pendingInputRead()
}
