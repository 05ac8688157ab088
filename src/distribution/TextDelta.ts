/** Computes and applies deltas between two long texts by segments, such as lines, instead of bytes. */

/** Copies segments of the base, given as the index of the first segment and their count, or inserts new text of this many characters. */
type Operation = readonly [first: number, count: number] | number

/** A segment ends after a line feed or a closing bracket, so that each line of a document and each row of a table is a segment. */
const SEGMENT_PATTERN = /[^\n\]]*[\n\]]|[^\n\]]+$/g
/** Separates the operations from the inserted text. */
const SEPARATOR = '\n'

/** Maximum number of bytes by which a delta is longer than the text that it encodes. */
export const MAXIMUM_DELTA_OVERHEAD_BYTES = 32

/** Collects operations, merging consecutive copies and consecutive insertions. */
class DeltaWriter {
  private readonly _operations: Operation[] = []
  private readonly _texts: string[] = []
  private _inserted = ''
  /** Segments of the base that the current operation copies: the first one, and the one after the last. */
  private _firstSegment = 0
  private _nextSegment = 0

  /** Segment of the base that would continue the current copy operation. */
  public get nextSegment (): number {
    return this._nextSegment
  }

  public copySegment (index: number): void {
    if (index !== this._nextSegment || this._inserted !== '') {
      this._finishOperation()
      this._firstSegment = index
    }
    this._nextSegment = index + 1
  }

  public insert (text: string): void {
    this._inserted += text
  }

  public finish (): string {
    this._finishOperation()
    return `${JSON.stringify(this._operations)}${SEPARATOR}${this._texts.join('')}`
  }

  private _finishOperation (): void {
    if (this._nextSegment > this._firstSegment) this._operations.push([this._firstSegment, this._nextSegment - this._firstSegment])
    if (this._inserted !== '') {
      this._operations.push(this._inserted.length)
      this._texts.push(this._inserted)
    }
    this._inserted = ''
    this._firstSegment = this._nextSegment
  }
}

/** Creates the delta that converts `base` into `text`. */
export function createTextDelta (base: string, text: string): string {
  const baseSegments = splitSegments(base)
  const writer = new DeltaWriter()
  let indexBySegment: ReadonlyMap<string, number> | undefined
  for (const segment of splitSegments(text)) {
    // In most cases a segment follows the same predecessor as in the base.
    if (baseSegments[writer.nextSegment] === segment) {
      writer.copySegment(writer.nextSegment)
      continue
    }
    indexBySegment ??= indexSegments(baseSegments)
    const index = indexBySegment.get(segment)
    if (index === undefined) writer.insert(segment)
    else writer.copySegment(index)
  }
  const delta = writer.finish()
  return delta.length <= text.length ? delta : `[${text.length}]${SEPARATOR}${text}`
}

/** Applies a delta. Throws if the delta is malformed or does not fit the base, or if the text would exceed `maximumLength` characters. */
export function applyTextDelta (base: string, delta: string, maximumLength: number): string {
  const operationsEnd = delta.indexOf(SEPARATOR)
  const operations = JSON.parse(delta.slice(0, operationsEnd)) as unknown
  if (operationsEnd < 0 || !Array.isArray(operations)) throw new TypeError('delta has no list of operations')
  const segmentEndOffsets = segmentEnds(splitSegments(base))
  let text = ''
  let position = operationsEnd + SEPARATOR.length
  for (const operation of operations as unknown[]) {
    const chunk = typeof operation === 'number' ? delta.slice(position, position += operation) : copySegments(base, segmentEndOffsets, operation)
    if (text.length + chunk.length > maximumLength) throw new RangeError(`text exceeds ${maximumLength} characters`)
    text += chunk
  }
  return text
}

function splitSegments (text: string): readonly string[] {
  return text.match(SEGMENT_PATTERN) ?? []
}

/** Index by segment; the first index for segments that occur more than once. */
function indexSegments (segments: readonly string[]): ReadonlyMap<string, number> {
  const indexBySegment = new Map<string, number>()
  for (let index = segments.length - 1; index >= 0; index--) indexBySegment.set(segments[index] ?? '', index)
  return indexBySegment
}

/** Offsets of the segment ends in the text, preceded by 0 for its start. */
function segmentEnds (segments: readonly string[]): readonly number[] {
  const ends = [0]
  let end = 0
  for (const segment of segments) ends.push(end += segment.length)
  return ends
}

function copySegments (base: string, ends: readonly number[], operation: unknown): string {
  const [first, count] = Array.isArray(operation) ? operation as unknown[] : []
  const from = ends[Number(first)]
  const to = ends[Number(first) + Number(count)]
  if (from === undefined || to === undefined || to < from) throw new RangeError('copied segments are outside the base')
  return base.slice(from, to)
}
