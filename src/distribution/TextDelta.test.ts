/** A delta contains only new text, also if text was moved, and is applied only to a base that it fits. */
import { expect } from 'chai'
import fastCheck from 'fast-check'
import { RandomService } from '../common/RandomService.js'
import { configurationText, idleRoutes, type IRigRoute } from '../../testing/mesh/ConfigurationText.js'
import { applyTextDelta, createTextDelta, MAXIMUM_DELTA_OVERHEAD_BYTES } from './TextDelta.js'

const SEED = 18
const MAXIMUM = 1_000_000
const ROUTES = 1_000

function roundTrip (base: string, text: string): string {
  return applyTextDelta(base, createTextDelta(base, text), MAXIMUM)
}

/** Operations of a delta, and the text that it inserts. */
function splitDelta (delta: string): { readonly operations: readonly unknown[], readonly inserted: string } {
  const end = delta.indexOf('\n')
  return { operations: JSON.parse(delta.slice(0, end)) as unknown[], inserted: delta.slice(end + 1) }
}

describe('TextDelta', () => {
  const routes = idleRoutes(ROUTES, new RandomService(SEED))
  const base = configurationText(1, routes)

  it('contains the new rows of a table, and one copy operation for each run of unchanged rows', () => {
    const changed: IRigRoute[] = [...routes]
    changed.splice(900, 1)
    changed.splice(500, 0, { prefix: '/added/', service: 'idle' })
    changed[100] = { prefix: '/changed/', service: 'idle' }
    const text = configurationText(2, changed)
    const { operations, inserted } = splitDelta(createTextDelta(base, text))
    expect(roundTrip(base, text)).to.equal(text)
    // The version and each changed row are an insertion followed by the copy of a run; the removed row only ends a run.
    expect([operations.length, (inserted.match(/"r-/g) ?? []).length]).to.deep.equal([7, 2])
    expect(inserted).to.include('"/added/"').and.to.include('"/changed/"')
  })

  it('inserts no text for a table whose rows are reordered', () => {
    const text = configurationText(1, [...routes.slice(0, 1), ...routes.slice(400).reverse(), ...routes.slice(1, 400)])
    expect([roundTrip(base, text) === text, splitDelta(createTextDelta(base, text)).inserted]).to.deep.equal([true, ''])
  })

  it('restores every text, and is longer than the text by at most the maximum overhead', () => {
    const text = fastCheck.array(fastCheck.constantFrom('a', ']', '\n', '","', 'ö', '😀', '[1]', '\\'), { maxLength: 60 }).map((parts) => parts.join(''))
    fastCheck.assert(fastCheck.property(text, text, (first, second) => {
      const delta = createTextDelta(first, second)
      expect(applyTextDelta(first, delta, second.length)).to.equal(second)
      expect(Buffer.byteLength(delta)).to.be.at.most(Buffer.byteLength(second) + MAXIMUM_DELTA_OVERHEAD_BYTES)
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('is not applied if the text would exceed the limit', () => {
    const text = `${base}\nadded`
    expect(applyTextDelta(base, createTextDelta(base, text), text.length)).to.equal(text)
    expect(() => applyTextDelta(base, createTextDelta(base, text), text.length - 1)).to.throw(RangeError)
    expect(() => applyTextDelta(base, `[${Array.from({ length: 99 }, () => `[0,${ROUTES}]`).join()}]\n`, MAXIMUM)).to.throw(RangeError)
  })

  it('is refused if it is malformed or copies segments that the base does not have', () => {
    for (const delta of ['', '[]', '7\n', '{}\n', 'x\n', '[[0,9]]\n', '[[-1,1]]\n', '[[0,-1]]\n', '[[0.5,1]]\n', '[["a",1]]\n', '[null]\n', '[{}]\n', '[[1]]\n', '[true]\n']) {
      expect(() => applyTextDelta('a]b]', delta, MAXIMUM), delta).to.throw()
    }
  })
})
