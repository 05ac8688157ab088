/** The parser lists every fault of a document, and no text makes it throw or run for long. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import fc from 'fast-check'
import { writeDocument } from '../../testing/documents/DocumentText.js'
import { DocumentParser } from './DocumentParser.js'
import { MAXIMUM_DOCUMENT_BYTES } from './DocumentSchema.js'
import type { IDocumentFault } from './Types.js'

const SEED = 20_261_204
const STATUS_TEXT = readFileSync(new URL('../../examples/tsagaan/status.ini', import.meta.url), 'utf8')
const parser = new DocumentParser()

/** Faults of `text`, one line each. */
function faultsOf (text: string): string[] {
  const result = parser.parse(text)
  return result.isValid ? [] : result.faults.map(({ section, key, message }) => `[${section}] ${key}: ${message}`)
}

describe('DocumentParser', () => {
  it('reads every section of a document', () => {
    expect(parser.parse(STATUS_TEXT)).toMatchSnapshot()
  })

  it('fills in defaults', () => {
    expect(parser.parse(writeDocument({ service: 'fees', targets: ['status/endpoints'] }))).toMatchSnapshot()
  })

  const faulty: ReadonlyArray<[string, string, string]> = [
    ['unknown key', 'slots = 9', 'slots = 9\nslot = 9\nconstructor = 1'],
    ['unknown section', '[stop]', '[stops]\na = 1\n[constructor]\n[service.two]\n[pool]\n[stop]'],
    ['wrong units', 'latency = 250 ms', 'latency = 250\nwindow = 3 weeks'],
    ['measures out of bounds', 'request-bytes = 16 KiB', 'request-bytes = 2 GiB\nrate = -1'],
    ['percent without sign', 'budget = 10 %', 'budget = 10'],
    ['flag that is not yes or no', 'exported = yes', 'exported = true'],
    ['missing and empty values', 'slots = 9\nconnections = 110', 'connections ='],
    ['missing section', '[stop]\ndrain-grace = 10 s', ''],
    ['duplicate key', 'slots = 9', 'slots = 9\nslots = 4\nslots[] = 5'],
    ['duplicate section', '[stop]', '[pool.endpoints]\nslots = 1\n[stop]'],
    ['hostile names', '[stop]', '[__proto__]\npolluted = 1\n[pool.__proto__]\n[pool.a.b]\n[..]\n[x\n__proto__ = 1\n[stop]'],
    ['stray lines', '[service]', 'early = 1\nstray\n[service]\nline without separator\n= 3'],
    ['control characters and quotes', 'owner = permits', 'owner = "permits"\nown\u0000er = x'],
    ['one name for two resources', '[limit.read-sizes]', '[limit.reads]'],
    ['references without resource', 'retry = status/reads', 'retry = status/writes'],
    ['references of the wrong kind', 'target = status/endpoints', 'target = status/reads'],
    ['malformed references', 'target = status/endpoints', 'target = endpoints'],
    ['paths with dot segments', 'path = /status/**', 'path = /status/../**'],
    ['paths with a pattern inside', 'path = /status/**', 'path = /**/status'],
    ['newer format alone', 'format = 1', 'format = 2\nfuture = 1']
  ]
  for (const [name, found, replacement] of faulty) {
    it(`lists faults: ${name}`, () => {
      expect(STATUS_TEXT).to.include(found)
      const faults = faultsOf(STATUS_TEXT.replace(found, replacement))
      expect(faults).not.to.be.empty
      expect(faults).toMatchSnapshot()
    })
  }

  it('lists the faults of different sections together', () => {
    expect(faultsOf('[service]\nformat = 1\n[objective]\n[pool.x]\n[route.y]\n[retry.z]\n[limit.w]\n')).toMatchSnapshot()
  })

  it('reports a single fault for a text that is too large or not valid Unicode', () => {
    const text = STATUS_TEXT + ';'.repeat(MAXIMUM_DOCUMENT_BYTES)
    expect(faultsOf(text)).to.have.length(1)
    expect(faultsOf(`${STATUS_TEXT}; \ud800`)).to.deep.equal(['[] : text is not valid Unicode'])
  })

  it('does not modify Object.prototype when sections are named like its properties', () => {
    faultsOf('[__proto__]\npolluted = 1\n[pool.__proto__]\npolluted = 1\n[constructor.prototype]\npolluted = 1\n')
    expect(({} as Record<string, unknown>).polluted).to.equal(undefined)
  })

  it('returns a document or a bounded list of faults for any text', () => {
    const lines = fc.oneof(
      fc.string({ unit: 'binary', maxLength: 40 }),
      fc.constantFrom(...STATUS_TEXT.split('\n')),
      fc.tuple(fc.constantFrom('[', '[pool.', '[route.', '__proto__', 'slots', '=', '\\', ';'), fc.string()).map((parts) => parts.join(''))
    )
    fc.assert(fc.property(fc.array(lines, { maxLength: 60 }).map((parts) => parts.join('\n')), (text) => {
      const result = parser.parse(text)
      if (result.isValid) return
      expect(result.faults.length).to.be.within(1, 201)
      for (const fault of result.faults) expect(sizeOf(fault)).to.be.below(1_000)
    }), { seed: SEED, numRuns: 1_000 })
  })

  it('finishes on texts of maximum size that repeat one pattern', () => {
    for (const unit of [' ', '=', '[', ']', 'a', '[a]\n', 'a=\n', '\\', ';\n', 'a=b\n', '\r', '[pool.a]\n', '"', 'a ']) {
      const text = `[service]\nx${unit.repeat(Math.floor((MAXIMUM_DOCUMENT_BYTES - 32) / unit.length))}y = 1\n`
      expect(faultsOf(text).length).to.be.within(1, 201)
    }
  })
})

function sizeOf (fault: IDocumentFault): number {
  return JSON.stringify(fault).length
}
