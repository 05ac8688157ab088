/** Checks the lines of an INI text for errors that the `ini` package accepts silently: duplicates, stray lines, invalid names. */

/** One fault of an INI text. */
export interface IIniFault {
  readonly section: string
  /** Empty if the fault concerns the section itself. */
  readonly key: string
  /** What was found and what was expected. */
  readonly message: string
}

/** The well-formed lines, and the faults of the other lines. */
export interface ICheckedLines {
  /** INI text without the faulty lines. */
  readonly text: string
  /** Names of the sections in their order. */
  readonly sections: readonly string[]
  readonly faults: readonly IIniFault[]
}

const NAME = '[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?'
/** `kind` or `kind.name`. */
const SECTION_PATTERN = new RegExp(`^${NAME}(?:\\.${NAME})?$`)
const KEY_PATTERN = new RegExp(`^${NAME}$`)
// eslint-disable-next-line no-control-regex
const CONTROL_PATTERN = /[\u0000-\u0008\u000b-\u001f\u007f]/
const BYTE_ORDER_MARK = '\ufeff'
/** Maximum length of an excerpt in a fault message, in characters. */
const EXCERPT_CHARACTERS = 60

/** Line-by-line check of one INI text. */
export class IniLines {
  private readonly _lines: string[] = []
  private readonly _sections = new Set<string>()
  private readonly _keys = new Set<string>()
  private readonly _faults: IIniFault[] = []
  private _section = ''

  /** Checks each line of `text`; takes time linear in its length. */
  public static check (text: string): ICheckedLines {
    const lines = new IniLines()
    const body = text.startsWith(BYTE_ORDER_MARK) ? text.slice(1) : text
    for (const line of body.split(/[\r\n]+/)) lines._checkLine(line.trim())
    return { text: lines._lines.join('\n'), sections: [...lines._sections], faults: lines._faults }
  }

  private _checkLine (line: string): void {
    if (line === '' || line.startsWith(';') || line.startsWith('#')) return
    if (CONTROL_PATTERN.test(line)) this._addFault('', `control character in the line ${excerpt(line)}`)
    else if (line.startsWith('[')) this._checkSection(line)
    else this._checkPair(line)
  }

  private _checkSection (line: string): void {
    const name = line.endsWith(']') ? line.slice(1, -1) : ''
    if (!SECTION_PATTERN.test(name)) {
      this._section = excerpt(line)
      this._addFault('', 'malformed section; expected [kind] or [kind.name] of lower-case letters, digits and hyphens')
      this._lines.push('[malformed]')
      return
    }
    this._section = name
    if (this._sections.has(name)) this._addFault('', 'section stands twice; expected once')
    this._sections.add(name)
    this._lines.push(line)
  }

  private _checkPair (line: string): void {
    const separator = line.indexOf('=')
    if (separator < 0) return this._addFault('', `stray line ${excerpt(line)}; expected key = value`)
    const key = line.slice(0, separator).trim()
    const value = line.slice(separator + 1).trim()
    const qualifiedKey = `${this._section}\n${key}`
    if (!KEY_PATTERN.test(key)) this._addFault(excerpt(key), 'malformed key; expected lower-case letters, digits and hyphens')
    else if (this._section === '') this._addFault(key, 'key stands before the first section')
    else if (this._keys.has(qualifiedKey)) this._addFault(key, 'key stands twice in its section; expected once')
    else if (value.startsWith('"') || value.startsWith("'")) this._addFault(key, 'quoted value; expected a value without quotes')
    else this._lines.push(line)
    this._keys.add(qualifiedKey)
  }

  private _addFault (key: string, message: string): void {
    this._faults.push({ section: this._section, key, message })
  }
}

/** The start of `text` as a JSON string, for use in a single-line message. */
export function excerpt (text: string): string {
  const isLong = text.length > EXCERPT_CHARACTERS
  return JSON.stringify(isLong ? `${text.slice(0, EXCERPT_CHARACTERS)}...` : text)
}
