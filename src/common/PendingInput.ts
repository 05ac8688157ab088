/** Lets a process look at what it has already been sent before it acts on a part of it. */

/**
 * Resolves once the event loop has read what had arrived by now. A process that was busy or suspended finds many messages at
 * once; one that takes back an earlier one may lie behind it.
 */
export function pendingInputRead (): Promise<void> {
  // The first of these runs before the loop reads again, the second one after it.
  return new Promise((resolve) => setImmediate(() => setImmediate(resolve)))
}
