/** Random permutation of arrays. */
import type { IRandomService } from '../common/Services.js'

/** Returns a new array with the items in random order (Fisher-Yates). */
export function shuffle<TItem> (items: readonly TItem[], random: IRandomService): TItem[] {
  const shuffled = [...items]
  for (let last = shuffled.length - 1; last > 0; last--) {
    const chosen = random.integer(last + 1)
    const item = shuffled[last] as TItem
    shuffled[last] = shuffled[chosen] as TItem
    shuffled[chosen] = item
  }
  return shuffled
}
