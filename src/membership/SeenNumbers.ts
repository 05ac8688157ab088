/** Detects duplicates among the numbered messages of each origin, in bounded memory. */
import type { NodeId } from '../common/Types.js'

/** Size of the window below the highest number, in which out-of-order numbers are still accepted. */
const WINDOW_BITS = 32

/** Maximum number of origins; the one without messages for the longest time is evicted first. */
const MAXIMUM_ORIGINS = 16_384

/** Seen numbers of one origin. */
interface IOriginNumbers {
  highest: number
  /** Bit n is set if `highest - n` was seen. */
  window: number
}

/** Sliding window of seen numbers for each origin. A number below the window counts as seen. */
export class SeenNumbers {
  private readonly _origins = new Map<NodeId, IOriginNumbers>()

  /** Records the number; returns true if it is new. */
  public add (origin: NodeId, number: number): boolean {
    const numbers = this._origins.get(origin) ?? { highest: number - 1, window: 0 }
    const isNew = markSeen(numbers, number)
    this._origins.delete(origin)
    this._origins.set(origin, numbers)
    if (this._origins.size > MAXIMUM_ORIGINS) this._origins.delete(this._origins.keys().next().value as NodeId)
    return isNew
  }
}

function markSeen (numbers: IOriginNumbers, number: number): boolean {
  if (number > numbers.highest) {
    const step = number - numbers.highest
    numbers.window = (step >= WINDOW_BITS ? 0 : numbers.window << step) | 1
    numbers.highest = number
    return true
  }
  const age = numbers.highest - number
  const bit = 1 << age
  if (age >= WINDOW_BITS || (numbers.window & bit) !== 0) return false
  numbers.window |= bit
  return true
}
