/** Seeded source of random numbers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'
import type { IRandomService } from './Services.js'

/** Values of one draw: the generator gives 32 signed bits. */
const DRAW_RANGE = 2 ** 32

/** Gives the same numbers for the same seed. */
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
