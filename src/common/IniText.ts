/** Reads an INI text into sections of plain text values. */
import { parse } from 'ini'
import { IniLines, type IIniFault } from './IniLines.js'

/** Values of one section by key. */
export type IniValues = Readonly<Record<string, string>>

/** A text that was read; the faulty lines are missing from the sections. */
export interface IIniText {
  /** By section name, in the order of the text. */
  readonly sections: ReadonlyMap<string, IniValues>
  readonly faults: readonly IIniFault[]
}

/** Reads `text`. Every fault of its form is listed. */
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
    // The package turns `true`, `false` and `null` into values of their own; an object is a nested section.
    if (!isObject(value)) values[key] = String(value)
  }
  return values
}

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
