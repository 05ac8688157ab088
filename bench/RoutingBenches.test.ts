/** Benchmarks on a manual clock give the same figures on every machine, therefore their bounds are checked as tests. */
import { expect } from 'chai'
import { GRAY } from './Gray.js'
import { RETRIES } from './Retries.js'
import type { IBench, IFigure } from './Types.js'

const OPTIONS = { seed: 20_261_204, baseline: false, quick: true, minutes: 1 }

async function figuresOf (bench: IBench): Promise<IFigure[]> {
  const figures: IFigure[] = []
  await bench.run(OPTIONS, (figure) => figures.push(figure))
  return figures
}

function valueOf (figures: readonly IFigure[], name: string): number {
  return figures.find((figure) => figure.name === name)?.value ?? NaN
}

describe('benchmarks on a manual clock', () => {
  it('requests per call through six services stay within the bound for each share of failures at the last service', async () => {
    const bounded = (await figuresOf(RETRIES)).filter((figure) => figure.bound !== undefined)
    expect(bounded).to.have.length(3)
    for (const figure of bounded) expect(figure.value, figure.name).to.be.at.most(figure.bound ?? 0)
  })

  it('a slow endpoint whose health checks pass is avoided, even if it is the only endpoint of its failure domain', async () => {
    const figures = await figuresOf(GRAY)
    for (const count of [1, 3]) {
      const label = `as designed, ${count} endpoints a domain`
      const quiet = valueOf(figures, `${label}: p99 without fault`)
      expect(valueOf(figures, `${label}: p99 in the slow endpoint's domain`), label).to.be.below(quiet * 2)
      expect(valueOf(figures, `${label}: failed calls`), label).to.equal(0)
    }
  })
})
