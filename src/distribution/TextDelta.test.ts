/** Deltas hold what is new, whatever moved, and are followed only where they fit. */
import { expect } from 'chai'
import fastCheck from 'fast-check'
import { RandomService } from '../common/RandomService.js'
import { configurationText, idleRoutes, type IRigRoute } from '../../testing/mesh/ConfigurationText.js'
import { applyTextDelta, createTextDelta, DELTA_EXTRA_BYTES } from './TextDelta.js'

const SEED = 18
const MAXIMUM = 1_000_000
const ROUTES = 1_000

function roundTrip (base: string, text: string): string {
  return applyTextDelta(base, createTextDelta(base, text), MAXIMUM)
}

/** Steps of a delta, and the new text in it. */
function partsOf (delta: string): { readonly steps: readonly unknown[], readonly added: string } {
  const end = delta.indexOf('\n')
  return { steps: JSON.parse(delta.slice(0, end)) as unknown[], added: delta.slice(end + 1) }
}

describe('TextDelta', () => {
  const routes = idleRoutes(ROUTES, new RandomService(SEED))
  const base = configurationText(1, routes)

  it('holds the rows of a table that are new, and one step for each run of the others', () => {
    const changed: IRigRoute[] = [...routes]
    changed.splice(900, 1)
    changed.splice(500, 0, { prefix: '/added/', service: 'idle' })
    changed[100] = { prefix: '/changed/', service: 'idle' }
    const text = configurationText(2, changed)
    const { steps, added } = partsOf(createTextDelta(base, text))
    expect(roundTrip(base, text)).to.equal(text)
    // The version and each change are a step of new text and the run behind it; the removal only ends a run.
    expect([steps.length, (added.match(/"r-/g) ?? []).length]).to.deep.equal([7, 2])
    expect(added).to.include('"/added/"').and.to.include('"/changed/"')
  })

  it('holds nothing new for a table in another order', () => {
    const text = configurationText(1, [...routes.slice(0, 1), ...routes.slice(400).reverse(), ...routes.slice(1, 400)])
    expect([roundTrip(base, text) === text, partsOf(createTextDelta(base, text)).added]).to.deep.equal([true, ''])
  })

  it('gives every text back, and is never much longer than the text', () => {
    const text = fastCheck.array(fastCheck.constantFrom('a', ']', '\n', '","', 'ö', '😀', '[1]', '\\'), { maxLength: 60 }).map((parts) => parts.join(''))
    fastCheck.assert(fastCheck.property(text, text, (first, second) => {
      const delta = createTextDelta(first, second)
      expect(applyTextDelta(first, delta, second.length)).to.equal(second)
      expect(Buffer.byteLength(delta)).to.be.at.most(Buffer.byteLength(second) + DELTA_EXTRA_BYTES)
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('makes no text above the limit', () => {
    const text = `${base}\nadded`
    expect(applyTextDelta(base, createTextDelta(base, text), text.length)).to.equal(text)
    expect(() => applyTextDelta(base, createTextDelta(base, text), text.length - 1)).to.throw(RangeError)
    expect(() => applyTextDelta(base, `[${Array.from({ length: 99 }, () => `[0,${ROUTES}]`).join()}]\n`, MAXIMUM)).to.throw(RangeError)
  })

  it('is refused if it is none, or takes pieces that the base has not', () => {
    for (const delta of ['', '[]', '7\n', '{}\n', 'x\n', '[[0,9]]\n', '[[-1,1]]\n', '[[0,-1]]\n', '[[0.5,1]]\n', '[["a",1]]\n', '[null]\n', '[{}]\n', '[[1]]\n', '[true]\n']) {
      expect(() => applyTextDelta('a]b]', delta, MAXIMUM), delta).to.throw()
    }
  })
})
