/** Random mutations of texts and bytes for fuzzing, reproducible from a seed. */
import type { IRandomService } from '../../src/common/Services.js'

/** Fragments that are likely to reveal faults of parsers. */
const FRAGMENTS = [
  '[', ']', '=', '\n', '\r', '\0', '\\', '"', "'", ';', '#', '[]', '__proto__', 'constructor', '[__proto__]\n', '[pool.]\n', '[a.b.c]\n',
  '%', ' %', '-1', '1e9', '99999999999999999999', 'NaN', '\u2028', '\ud800', 'é', '../', '**', '{}', 'true', 'null', ' '.repeat(200)
]
/** Maximum number of mutations of one text. */
const MAXIMUM_MUTATIONS = 2
/** On average, one in this many texts is extended to about the maximum length. */
const GROWTH_INTERVAL = 200

/** Each call returns a different mutation. */
export class TextMutator {
  private readonly _lines: readonly string[]

  constructor (private readonly _random: IRandomService, private readonly _text: string) {
    this._lines = _text.split('\n')
  }

  /** A mutated copy of the text; occasionally one extended to about `maximumLength` characters. */
  public text (maximumLength: number): string {
    const mutated = this.mutate(this._text)
    if (this._random.integer(GROWTH_INTERVAL) !== 0) return mutated
    const fragment = this._fragment()
    return mutated + fragment.repeat(Math.floor((maximumLength - mutated.length) / fragment.length))
  }

  /** A copy of `text` with one or two mutations. */
  public mutate (text: string): string {
    let mutated = text
    for (let mutation = this._random.integer(MAXIMUM_MUTATIONS); mutation >= 0; mutation--) mutated = this._mutateOnce(mutated)
    return mutated
  }

  /** A copy of `bytes` with one or two bytes changed, sometimes also truncated. */
  public bytes (bytes: Uint8Array): Uint8Array {
    const mutated = Uint8Array.from(bytes)
    for (let mutation = this._random.integer(MAXIMUM_MUTATIONS); mutation >= 0; mutation--) {
      mutated[this._random.integer(mutated.length)] = this._random.integer(256)
    }
    return this._random.integer(4) === 0 ? mutated.slice(0, this._random.integer(mutated.length)) : mutated
  }

  private _mutateOnce (text: string): string {
    const position = this._random.integer(text.length + 1)
    const length = this._random.integer(20)
    switch (this._random.integer(4)) {
      case 0: return text.slice(0, position) + text.slice(position + length)
      case 1: return text.slice(0, position) + this._fragment() + text.slice(position)
      case 2: return text.slice(0, position) + text.slice(position, position + length) + text.slice(position)
      default: return `${text}\n${this._lines[this._random.integer(this._lines.length)]}`
    }
  }

  private _fragment (): string {
    return FRAGMENTS[this._random.integer(FRAGMENTS.length)]
  }
}
