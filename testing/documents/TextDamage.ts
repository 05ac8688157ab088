/** Random mutations of texts and bytes for fuzzing, reproducible from a seed. */
import type { IRandomService } from '../../src/common/Services.js'

/** Fragments that are likely to reveal faults of parsers. */
const PIECES = [
  '[', ']', '=', '\n', '\r', '\0', '\\', '"', "'", ';', '#', '[]', '__proto__', 'constructor', '[__proto__]\n', '[pool.]\n', '[a.b.c]\n',
  '%', ' %', '-1', '1e9', '99999999999999999999', 'NaN', '\u2028', '\ud800', 'é', '../', '**', '{}', 'true', 'null', ' '.repeat(200)
]
/** Maximum number of mutations of one text. */
const MAXIMUM_CHANGES = 2
/** On average, one in this many texts is extended to about the maximum length. */
const GROWTH_INTERVAL = 200

/** Each call returns a different mutation. */
export class TextDamage {
  private readonly _lines: readonly string[]

  constructor (private readonly _random: IRandomService, private readonly _text: string) {
    this._lines = _text.split('\n')
  }

  /** A mutated copy of the text; occasionally one extended to about `maximumLength` characters. */
  public text (maximumLength: number): string {
    const damaged = this.damage(this._text)
    if (this._random.integer(GROWTH_INTERVAL) !== 0) return damaged
    const piece = this._piece()
    return damaged + piece.repeat(Math.floor((maximumLength - damaged.length) / piece.length))
  }

  /** A copy of `text` with one or two mutations. */
  public damage (text: string): string {
    let damaged = text
    for (let change = this._random.integer(MAXIMUM_CHANGES); change >= 0; change--) damaged = this._change(damaged)
    return damaged
  }

  /** A copy of `bytes` with one or two bytes changed, sometimes also truncated. */
  public bytes (bytes: Uint8Array): Uint8Array {
    const damaged = Uint8Array.from(bytes)
    for (let change = this._random.integer(MAXIMUM_CHANGES); change >= 0; change--) {
      damaged[this._random.integer(damaged.length)] = this._random.integer(256)
    }
    return this._random.integer(4) === 0 ? damaged.slice(0, this._random.integer(damaged.length)) : damaged
  }

  private _change (text: string): string {
    const position = this._random.integer(text.length + 1)
    const length = this._random.integer(20)
    switch (this._random.integer(4)) {
      case 0: return text.slice(0, position) + text.slice(position + length)
      case 1: return text.slice(0, position) + this._piece() + text.slice(position)
      case 2: return text.slice(0, position) + text.slice(position, position + length) + text.slice(position)
      default: return `${text}\n${this._lines[this._random.integer(this._lines.length)]}`
    }
  }

  private _piece (): string {
    return PIECES[this._random.integer(PIECES.length)]
  }
}
