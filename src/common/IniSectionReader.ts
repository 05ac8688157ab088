/** Reads the sections of an INI text with zod schemas and collects all faults. */
import type { z } from 'zod'
import type { IIniFault } from './IniLines.js'
import { readIni, type IniValues } from './IniText.js'

/** Reader of one INI text. */
export class IniSectionReader {
  private readonly _faults: IIniFault[] = []
  private readonly _sections: ReadonlyMap<string, IniValues>

  constructor (text: string) {
    const read = readIni(text)
    this._sections = read.sections
    this._faults.push(...read.faults)
  }

  /** Faults found so far. */
  public get faults (): readonly IIniFault[] {
    return this._faults
  }

  /** Names of the sections in the order of the text. */
  public get names (): readonly string[] {
    return [...this._sections.keys()]
  }

  /** Unchecked text of one value. */
  public textOf (section: string, key: string): string | undefined {
    return this._sections.get(section)?.[key]
  }

  /** Values of a section; undefined, with faults added, if it is missing or invalid. */
  public required<TValues> (section: string, schema: z.ZodType<TValues>): TValues | undefined {
    if (this._sections.has(section)) return this.optional(section, schema)
    this.addFault(section, '', 'section is missing')
    return undefined
  }

  /** Like `required`, but a missing section counts as an empty one. */
  public optional<TValues> (section: string, schema: z.ZodType<TValues>): TValues | undefined {
    const result = schema.safeParse(this._sections.get(section) ?? {})
    if (result.success) return result.data
    for (const issue of result.error.issues) this._addIssue(section, issue)
    return undefined
  }

  /** Adds a fault; `key` is empty for a fault of the section itself. */
  public addFault (section: string, key: string, message: string): void {
    this._faults.push({ section, key, message })
  }

  private _addIssue (section: string, issue: z.core.$ZodIssue): void {
    if (issue.code === 'unrecognized_keys') {
      for (const key of issue.keys) this.addFault(section, key, 'unknown key')
    } else {
      this.addFault(section, issue.path.join('.'), issue.message)
    }
  }
}
