/** The size of a delta is in proportion to the change, and only complete, unmodified texts are restored. */
import { expect } from 'chai'
import fastCheck from 'fast-check'
import { hashContent } from '../common/Ids.js'
import { BodyError, decodeBody, encodeBody } from './BodyCodec.js'

const SEED = 18
const SOURCE = Object.freeze({ peer: 'peer', maximumBytes: 1_000_000 })
/** Number of lines of a text that is much longer than the window of DEFLATE. */
const LONG_LINES = 2_000

/** Lines without repetition, as of routes with random names. */
function linesOf (count: number): string[] {
  return Array.from({ length: count }, (_, number) => `route ${hashContent(`line ${number}`).slice(0, 40)}`)
}

function roundTrip (text: string, base: string | undefined): string {
  return decodeBody(encodeBody(text, base), base, hashContent(text), SOURCE)
}

describe('BodyCodec', () => {
  it('encodes a small change anywhere in a long text as a small delta', () => {
    const lines = linesOf(LONG_LINES)
    const base = lines.join('\n')
    const sizes = [0, 0.25, 0.5, 0.75, 1].map((part) => {
      const changed = [...lines]
      changed.splice(Math.floor(part * (LONG_LINES - 1)), 1, 'route changed', 'route added')
      return encodeBody(['version 2', ...changed].join('\n'), base).length
    })
    expect(Math.max(...sizes)).to.be.below(200)
  })

  it('restores every text unmodified, with any base or none', () => {
    const line = fastCheck.integer({ min: 0, max: 40 }).map((number) => `${hashContent(String(number))} ö\n`)
    const text = fastCheck.array(line, { maxLength: 1_200 }).map((lines) => lines.join(''))
    fastCheck.assert(fastCheck.property(text, text, (first, second) => {
      expect(roundTrip(first, second)).to.equal(first)
      expect(roundTrip(second, undefined)).to.equal(second)
    }), { seed: SEED, numRuns: 60 })
  })

  it('restores no text larger than the limit, with or without a base', () => {
    const base = linesOf(LONG_LINES).join('\n')
    const text = `${base}\n${base}`
    for (const known of [undefined, base]) {
      const decode = (maximumBytes: number): string => decodeBody(encodeBody(text, known), known, hashContent(text), { peer: 'peer', maximumBytes })
      expect(decode(text.length)).to.equal(text)
      expect(() => decode(text.length - 1)).to.throw(BodyError)
    }
  })

  it('throws for a delta against another base, and for content with a modified byte', () => {
    const base = linesOf(LONG_LINES).join('\n')
    const text = `${base}\nroute added`
    const content = encodeBody(text, base)
    const hash = hashContent(text)
    expect(() => decodeBody(content, base.replaceAll('a', 'b'), hash, SOURCE)).to.throw(BodyError)
    for (let position = 0; position < content.length; position++) {
      const changed = Buffer.from(content)
      changed[position] = (changed[position] ?? 0) ^ 0xff
      expect(() => decodeBody(changed, base, hash, SOURCE)).to.throw(BodyError)
    }
  })
})
