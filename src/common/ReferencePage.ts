/** Generates reference pages of INI files from the zod schemas of their sections. */
import type { z } from 'zod'
import { describeValue, type IValueMeta } from './IniValues.js'

/** One kind of section. */
export interface IReferenceSection {
  /** Section heading as in the file, for example `[pool.NAME]`. */
  readonly heading: string
  readonly description: string
  readonly schema: z.ZodObject
}

/** One key of a section. */
export interface IReferenceKey {
  readonly key: string
  readonly meta: IValueMeta
}

/** Keys of a section in the order of its schema. */
export function referenceKeys (section: IReferenceSection): IReferenceKey[] {
  const shape = section.schema.shape as Readonly<Record<string, z.ZodType>>
  return Object.entries(shape).map(([key, schema]) => ({ key, meta: describeValue(schema) }))
}

/** Describes whether the key may be missing. */
export function describePresence ({ default: fallback, isOptional }: IValueMeta): string {
  if (fallback !== undefined) return `default ${fallback}`
  return isOptional === true ? 'optional' : 'required'
}

/** Renders the sections as Markdown, each with a heading and a table. */
export function writeReferenceSections (sections: readonly IReferenceSection[]): string {
  return sections.map(writeSection).join('\n')
}

function writeSection (section: IReferenceSection): string {
  const rows = referenceKeys(section).map(({ key, meta }) =>
    `| \`${key}\` | ${describePresence(meta)} | ${escapeCell(meta.description)} | ${escapeCell(meta.expected)} |`)
  return [
    `## ${section.heading}`, '', section.description, '',
    '| key | presence | meaning | expected value |', '|---|---|---|---|', ...rows, ''
  ].join('\n')
}

/** Escapes bars, which would end the cell, and asterisks, which could start emphasis. */
function escapeCell (text: string): string {
  return text.replace(/[|*]/g, (character) => `\\${character}`)
}
