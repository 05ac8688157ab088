/** Remembers which numbered messages of each origin were seen, in bounded memory. */
import type { NodeId } from '../common/Types.js'

/** Numbers below the highest one that may still arrive. */
const WINDOW = 32

/** Origins remembered; the one that was silent longest is forgotten first. */
const MAXIMUM_ORIGINS = 16_384

/** Numbers of one origin. */
interface IOriginNumbers {
  highest: number
  /** Bit n is set if `highest - n` was seen. */
  window: number
}

/** A number older than the window counts as seen. */
export class SeenNumbers {
  private readonly _origins = new Map<NodeId, IOriginNumbers>()

  /** True if the number is new. */
  public add (origin: NodeId, number: number): boolean {
    const numbers = this._origins.get(origin) ?? { highest: number - 1, window: 0 }
    const isNew = advance(numbers, number)
    this._origins.delete(origin)
    this._origins.set(origin, numbers)
    if (this._origins.size > MAXIMUM_ORIGINS) this._origins.delete(this._origins.keys().next().value as NodeId)
    return isNew
  }
}

function advance (numbers: IOriginNumbers, number: number): boolean {
  if (number > numbers.highest) {
    const step = number - numbers.highest
    numbers.window = (step >= WINDOW ? 0 : numbers.window << step) | 1
    numbers.highest = number
    return true
  }
  const age = numbers.highest - number
  const bit = 1 << age
  if (age >= WINDOW || (numbers.window & bit) !== 0) return false
  numbers.window |= bit
  return true
}
