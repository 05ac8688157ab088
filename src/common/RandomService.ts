/** Seeded source of random numbers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { IRandomService } from './Services.js'

/** Number of values that the generator returns: signed 32-bit integers. */
const DRAW_RANGE = 2 ** 32

/** Returns the same sequence of numbers for the same seed. */
export class RandomService implements IRandomService {
  private readonly _generator: RandomGenerator

  constructor (seed: number) {
    this._generator = xoroshiro128plus(seed)
  }

  public fraction (): number {
    return (this._generator.next() >>> 0) / DRAW_RANGE
  }

  public integer (limit: number): number {
    return Math.floor(this.fraction() * limit)
  }
}
