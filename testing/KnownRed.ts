/** Reads what is known to fail from KNOWN-RED.txt. CI passes over exactly these tests and guarantees of the soak, and prints them. */
import { readFileSync } from 'node:fs'
import { join } from 'node:path'
import { REPOSITORY } from './demonstration/Repository.js'

/** Line of KNOWN-RED.txt with the full title of a test. */
const TEST_LINE = /^test: (.+)$/gm
/** Line of KNOWN-RED.txt with a seed of the soak and the text of the guarantee that is known to break with it. */
const SOAK_LINE = /^soak: seed (\d+): (.+)$/gm

/** Full titles of the tests that are listed in the text of KNOWN-RED.txt. */
export function knownRedTitles (text: string): ReadonlySet<string> {
  return new Set([...text.matchAll(TEST_LINE)].map(([, title]) => title?.trim() ?? ''))
}

/** Guarantees of the soak that the text of KNOWN-RED.txt lists for one seed. */
export function knownRedGuarantees (text: string, seed: number): ReadonlySet<string> {
  return new Set([...text.matchAll(SOAK_LINE)].filter(([, listed]) => Number(listed) === seed).map(([, , guarantee]) => guarantee?.trim() ?? ''))
}

/** Text of KNOWN-RED.txt of this repository. */
export function readKnownRed (): string {
  return readFileSync(join(REPOSITORY, 'KNOWN-RED.txt'), 'utf8')
}
