/** Log lines must be identical to the output of winston's JSON format. */
import { expect } from 'chai'
import fastCheck from 'fast-check'
import { format } from 'winston'
import { formatLogLine } from './LogLine.js'

const SEED = 18
const MESSAGE = Symbol.for('message')

/** The line that winston's JSON format writes for an entry. */
function winstonLine (entry: Record<string, unknown>): unknown {
  const info = format.json().transform({ ...entry, level: 'info', message: 'event' }, {})
  return typeof info === 'object' ? info[MESSAGE] : undefined
}

describe('LogLine', () => {
  it('is identical to the line of winston for generated entries', () => {
    const name = fastCheck.stringMatching(/^[a-zA-Z]{1,12}$/)
    const value = fastCheck.oneof(fastCheck.string({ unit: 'binary' }), fastCheck.double(), fastCheck.boolean(), fastCheck.constant(undefined))
    const parts = fastCheck.array(fastCheck.dictionary(name, value), { maxLength: 3 })
    fastCheck.assert(fastCheck.property(fastCheck.dictionary(name, fastCheck.oneof(value, parts)), (entry) => {
      expect(formatLogLine({ ...entry, level: 'info', message: 'event' })).to.equal(winstonLine(entry))
    }), { seed: SEED, numRuns: 1_000 })
  })
})
