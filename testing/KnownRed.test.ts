/** Entries of KNOWN-RED.txt must match exactly, or CI would pass over other failures as well. */
import { expect } from 'chai'
import { knownRedGuarantees, knownRedTitles } from './KnownRed.js'

const TEXT = [
  'test: One title', '  file: what was seen. Issue 1.', '',
  'soak: seed 1: one guarantee', 'soak: seed 12: another guarantee', '  soak: seed 1: indented text is no entry', ''
].join('\n')

describe('Known red entries', () => {
  it('list the full titles of tests', () => {
    expect([...knownRedTitles(TEXT)]).to.deep.equal(['One title'])
  })

  it('list a guarantee of the soak for its own seed only', () => {
    expect([1, 2, 12].map((seed) => [...knownRedGuarantees(TEXT, seed)])).to.deep.equal([['one guarantee'], [], ['another guarantee']])
  })
})
