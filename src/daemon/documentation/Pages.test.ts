/** Holds the pages made from the code, and the catalogue of events, together with the code. */
import { expect } from 'chai'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { ALL_EVENTS } from './EventCatalogue.js'
import { PAGES } from './Pages.js'

const THOUSAND = 1_000
const DEFINITION_PATTERN = /number: ([0-9_]+)/g
const NAME_PATTERN = /export const ([A-Z_]+): IEventDefinition /g
const EVENT_FILE = 'Events.ts'

const SOURCE_FILES = readdirSync('src', { recursive: true, encoding: 'utf8' }).filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))

/** Texts of the files that define events, or of all others. */
function readTexts (definesEvents: boolean): string[] {
  const files = SOURCE_FILES.filter((file) => (file.split('/').at(-1) === EVENT_FILE) === definesEvents)
  return files.map((file) => readFileSync(join('src', file), 'utf8'))
}

/** Numbers of all events defined anywhere in src/. */
function definedNumbers (): number[] {
  return readTexts(true).flatMap((text) => [...text.matchAll(DEFINITION_PATTERN)].map((match) => Number(match[1]?.replaceAll('_', ''))))
}

describe('Pages made from the code', () => {
  for (const page of PAGES) {
    it(`${page.file} is up to date (npm run docs writes it)`, () => {
      expect(readFileSync(page.file, 'utf8')).to.equal(page.write())
    })
  }

  it('has no event that nothing logs', () => {
    const names = readTexts(true).flatMap((text) => [...text.matchAll(NAME_PATTERN)].map((match) => match[1] ?? ''))
    const code = readTexts(false).join('\n')
    expect(names.filter((name) => !new RegExp(`\\b${name}\\b`).test(code))).to.deep.equal([])
    expect(names).to.have.length(ALL_EVENTS.length)
  })

  it('lists every event once, with a unique number and name', () => {
    const numbers = ALL_EVENTS.map((event) => event.number)
    expect(numbers).to.deep.equal(definedNumbers().sort((left, right) => left - right))
    expect(new Set(numbers).size).to.equal(numbers.length)
    expect(new Set(ALL_EVENTS.map((event) => event.name)).size).to.equal(ALL_EVENTS.length)
    expect(ALL_EVENTS.every((event) => event.number >= THOUSAND && event.meaning.endsWith('.'))).to.equal(true)
  })
})
