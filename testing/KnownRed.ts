/** Tests of KNOWN-RED.txt: CI passes over exactly these, and prints them. */
import { readFileSync } from 'node:fs'

/** A line of KNOWN-RED.txt that names a test by its full title. */
const TEST_LINE = /^test: (.+)$/gm

/** Full titles of the tests that the text of KNOWN-RED.txt names. */
export function knownRedTitles (text: string): ReadonlySet<string> {
  return new Set([...text.matchAll(TEST_LINE)].map(([, title]) => title?.trim() ?? ''))
}

/** Titles in the file of this repository. */
export function readKnownRed (): ReadonlySet<string> {
  return knownRedTitles(readFileSync(new URL('../KNOWN-RED.txt', import.meta.url), 'utf8'))
}
