/** Reads the tests that are known to fail from KNOWN-RED.txt. CI skips exactly these tests and prints them. */
import { readFileSync } from 'node:fs'

/** Line of KNOWN-RED.txt with the full title of a test. */
const TEST_LINE = /^test: (.+)$/gm

/** Full titles of the tests that are listed in the text of KNOWN-RED.txt. */
export function knownRedTitles (text: string): ReadonlySet<string> {
  return new Set([...text.matchAll(TEST_LINE)].map(([, title]) => title?.trim() ?? ''))
}

/** Full titles of the tests that are listed in KNOWN-RED.txt of this repository. */
export function readKnownRed (): ReadonlySet<string> {
  return knownRedTitles(readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8'))
}
