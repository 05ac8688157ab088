/** Reads an INI text into sections of plain text values. */
import { parse } from 'ini'
import { IniLines, type IIniFault } from './IniLines.js'

/** Values of one section by key. */
export type IniValues = Readonly<Record<string, string>>

/** A parsed INI text; its sections do not contain the faulty lines. */
export interface IIniText {
  /** By section name, in the order of the text. */
  readonly sections: ReadonlyMap<string, IniValues>
  readonly faults: readonly IIniFault[]
}

/** Parses `text` and lists all of its syntax faults. */
export function readIni (text: string): IIniText {
  const lines = IniLines.check(text)
  const tree: unknown = parse(lines.text)
  const sections = new Map<string, IniValues>()
  for (const name of lines.sections) sections.set(name, readValues(tree, name))
  return { sections, faults: lines.faults }
}

/** The values at `name`; the `ini` package nests the section `a.b` as `b` inside `a`. */
function readValues (tree: unknown, name: string): IniValues {
  let node = tree
  for (const part of name.split('.')) node = isObject(node) ? node[part] : undefined
  const values: Record<string, string> = Object.create(null)
  if (!isObject(node)) return values
  for (const [key, value] of Object.entries(node)) {
    // The package converts `true`, `false` and `null` to values that are not strings; an object is a nested section.
    if (!isObject(value)) values[key] = String(value)
  }
  return values
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
