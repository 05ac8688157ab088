/** The generated pages and the catalogue of events are up to date with the code. */
import { expect } from 'chai'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import type { IEventDefinition } from '../common/Services.js'
import { BENCHES } from '../../bench/Benches.js'
import { ALL_EVENTS } from './EventCatalogue.js'
import { PAGES } from './Pages.js'

const THOUSAND = 1_000
const EVENT_FILE = 'Events.ts'

/** The adapter of the users' platform logs events as well. */
const SOURCE_FOLDERS = ['src', 'platform']
const SOURCE_FILES = SOURCE_FOLDERS.flatMap((folder) => readdirSync(folder, { recursive: true, encoding: 'utf8' }).map((file) => join(folder, file)))

/** Source files that define events, or all other source files. */
function filesOf (definesEvents: boolean): string[] {
  const files = SOURCE_FILES.filter((file) => file.endsWith('.ts') && !file.endsWith('.test.ts'))
  return files.filter((file) => (file.split('/').at(-1) === EVENT_FILE) === definesEvents)
}

/** Every event that a source file defines, by the name of its constant. */
async function definedEvents (): Promise<Map<string, IEventDefinition>> {
  const events = new Map<string, IEventDefinition>()
  for (const file of filesOf(true)) {
    const module = await import(join(process.cwd(), file)) as Record<string, IEventDefinition | readonly IEventDefinition[]>
    for (const [name, value] of Object.entries(module)) if ('number' in value) events.set(name, value)
  }
  return events
}

describe('Generated pages', () => {
  for (const page of PAGES) {
    it(`${page.file} is up to date (npm run docs writes it)`, () => {
      expect(readFileSync(page.file, 'utf8')).to.equal(page.write())
    })
  }

  it('links every operator page from docs/OPERATIONS.md', () => {
    const index = readFileSync('docs/OPERATIONS.md', 'utf8')
    expect(readdirSync('docs/operations').filter((file) => !index.includes(`(operations/${file})`))).to.deep.equal([])
  })

  it('finds every test and benchmark that docs/PROOFS.md names', () => {
    const page = readFileSync('docs/PROOFS.md', 'utf8')
    const paths = ['src', 'platform', 'bench', 'deploy'].flatMap((folder) => readdirSync(folder, { recursive: true, encoding: 'utf8' }))
    const files = paths.map((file) => file.split('/').at(-1))
    const tests = [...page.matchAll(/`(\w+\.test\.ts)`/g)].map((match) => match[1])
    const names = [...page.matchAll(/`([a-z]+(?:-[a-z]+)*)`/g)].map((match) => match[1] ?? '')
    expect(tests.filter((file) => !files.includes(file))).to.deep.equal([])
    expect(names.filter((name) => !BENCHES.some((bench) => bench.name === name))).to.deep.equal([])
  })

  it('finds a use of every defined event in the code', async () => {
    const code = filesOf(false).map((file) => readFileSync(file, 'utf8')).join('\n')
    const names = [...(await definedEvents()).keys()]
    expect(names.filter((name) => !new RegExp(`\\b${name}\\b`).test(code))).to.deep.equal([])
  })

  it('lists every defined event once in the catalogue, with a unique number and name', async () => {
    const numbers = ALL_EVENTS.map((event) => event.number)
    const defined = [...(await definedEvents()).values()].map((event) => event.number)
    expect(numbers).to.deep.equal(defined.sort((left, right) => left - right))
    expect(new Set(numbers).size).to.equal(numbers.length)
    expect(new Set(ALL_EVENTS.map((event) => event.name)).size).to.equal(ALL_EVENTS.length)
    expect(ALL_EVENTS.every((event) => event.number >= THOUSAND && event.meaning.endsWith('.'))).to.equal(true)
  })
})
