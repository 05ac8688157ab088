/** Differences between two long texts, found and applied piece by piece instead of byte by byte. */

/** Pieces of the base, as the number of the first one and their count; or the length of new text, in characters. */
type Step = readonly [first: number, count: number] | number

/** A piece ends behind a line or behind a list, so that the lines of a document and the rows of a table are pieces. */
const PIECE_PATTERN = /[^\n\]]*[\n\]]|[^\n\]]+$/g
/** Stands between the steps and the new text. */
const SEPARATOR = '\n'

/** Most bytes by which a delta is longer than the text that it stands for. */
export const DELTA_EXTRA_BYTES = 32

/** Collects steps. */
class DeltaWriter {
  private readonly _steps: Step[] = []
  private readonly _texts: string[] = []
  private _added = ''
  /** Pieces of the base that are taken next: the first one, and the one behind the last. */
  private _first = 0
  private _next = 0

  /** Piece of the base that would go on with the present step. */
  public get next (): number {
    return this._next
  }

  public take (place: number): void {
    if (place !== this._next || this._added !== '') {
      this._endStep()
      this._first = place
    }
    this._next = place + 1
  }

  public add (text: string): void {
    this._added += text
  }

  public finish (): string {
    this._endStep()
    return `${JSON.stringify(this._steps)}${SEPARATOR}${this._texts.join('')}`
  }

  private _endStep (): void {
    if (this._next > this._first) this._steps.push([this._first, this._next - this._first])
    if (this._added !== '') {
      this._steps.push(this._added.length)
      this._texts.push(this._added)
    }
    this._added = ''
    this._first = this._next
  }
}

/** What makes `text` of `base`. */
export function createTextDelta (base: string, text: string): string {
  const known = piecesOf(base)
  const writer = new DeltaWriter()
  let places: ReadonlyMap<string, number> | undefined
  for (const piece of piecesOf(text)) {
    // Mostly a piece follows the one that it followed before.
    if (known[writer.next] === piece) {
      writer.take(writer.next)
      continue
    }
    places ??= placesOf(known)
    const place = places.get(piece)
    if (place === undefined) writer.add(piece)
    else writer.take(place)
  }
  const delta = writer.finish()
  return delta.length <= text.length ? delta : `[${text.length}]${SEPARATOR}${text}`
}

/** Follows a delta. Throws if it is none for this base, or if the text would have more than `maximumLength` characters. */
export function applyTextDelta (base: string, delta: string, maximumLength: number): string {
  const end = delta.indexOf(SEPARATOR)
  const steps = JSON.parse(delta.slice(0, end)) as unknown
  if (end < 0 || !Array.isArray(steps)) throw new TypeError('delta has no steps')
  const ends = endsOf(piecesOf(base))
  let text = ''
  let used = end + SEPARATOR.length
  for (const step of steps as unknown[]) {
    const part = typeof step === 'number' ? delta.slice(used, used += step) : copyPieces(base, ends, step)
    if (text.length + part.length > maximumLength) throw new RangeError(`text is above ${maximumLength} characters`)
    text += part
  }
  return text
}

function piecesOf (text: string): readonly string[] {
  return text.match(PIECE_PATTERN) ?? []
}

/** Place of each piece; of equal ones the first. */
function placesOf (pieces: readonly string[]): ReadonlyMap<string, number> {
  const places = new Map<string, number>()
  for (let place = pieces.length - 1; place >= 0; place--) places.set(pieces[place] ?? '', place)
  return places
}

/** Where the pieces end in their text, behind a 0 for its start. */
function endsOf (pieces: readonly string[]): readonly number[] {
  const ends = [0]
  let end = 0
  for (const piece of pieces) ends.push(end += piece.length)
  return ends
}

function copyPieces (base: string, ends: readonly number[], step: unknown): string {
  const [first, count] = Array.isArray(step) ? step as unknown[] : []
  const from = ends[Number(first)]
  const to = ends[Number(first) + Number(count)]
  if (from === undefined || to === undefined || to < from) throw new RangeError('step is outside of the base')
  return base.slice(from, to)
}
