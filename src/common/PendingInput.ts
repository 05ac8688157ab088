/** Lets a process look at what it has already been sent before it acts on a part of it. */
import { performance } from 'node:perf_hooks'
import { loopTurns } from './LoopTurns.js'

/** A process that takes longer for one reading was held up, perhaps after it had read. */
const HELD_UP_MS = 100
/** A process that is slow for good goes on after so many readings. */
const MOST_READINGS = 3

/**
 * Resolves once the event loop has read what had arrived by now. A process that was busy or suspended finds many messages at
 * once; one that takes back an earlier one may lie behind it.
 */
export async function pendingInputRead (): Promise<void> {
  for (let readings = 0; readings < MOST_READINGS; readings++) {
    const beganAt = performance.now()
    await nextReading()
    if (performance.now() - beganAt < HELD_UP_MS) return
  }
}

/** As `pendingInputRead` for work that has had to wait; resolves at once in the turn in which what had arrived was read last. */
export async function pendingInputReadSince (turn: number): Promise<void> {
  if (loopTurns() !== turn) await pendingInputRead()
}

function nextReading (): Promise<void> {
  // The first of these runs before the loop reads again, the second one after it.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)))
}
