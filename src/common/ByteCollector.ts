/** Collects bytes that arrive in chunks whose sizes the sender chooses. */

/** Capacity of the first segment, in bytes, if the first chunk is smaller. */
const MINIMUM_SEGMENT_BYTES = 64
/** Maximum capacity of a segment in bytes, unless a single chunk is larger. */
const MAXIMUM_SEGMENT_BYTES = 65_536

/**
 * Copies chunks into few large segments, so that the memory follows the number of bytes. A list of the chunks themselves would cost about
 * 100 bytes for each chunk, and a small chunk would keep the complete buffer that it is a part of.
 */
export class ByteCollector {
  private readonly _segments: Buffer[] = []
  /** Number of used bytes of the last segment; the other segments are full. */
  private _lastSegmentBytes = 0
  private _byteLength = 0
  private _reservedBytes = 0

  /** `expectedBytes`: number of bytes that are likely to be collected, for which one segment is reserved with the first chunk. */
  constructor (private readonly _expectedBytes = 0) {}

  /** Number of collected bytes. */
  public get byteLength (): number {
    return this._byteLength
  }

  /** Capacity of all segments in bytes: at most twice the collected bytes, or what was expected, or the minimum of one segment. */
  public get reservedBytes (): number {
    return this._reservedBytes
  }

  /** Appends a copy of `chunk`. */
  public append (chunk: Uint8Array): void {
    let rest = chunk
    while (rest.byteLength > 0) {
      const segment = this._segmentFor(rest.byteLength)
      const free = segment.byteLength - this._lastSegmentBytes
      // Without a view for each chunk that fits, since most chunks do.
      const part = rest.byteLength <= free ? rest : rest.subarray(0, free)
      segment.set(part, this._lastSegmentBytes)
      this._lastSegmentBytes += part.byteLength
      this._byteLength += part.byteLength
      if (part === rest) return
      rest = rest.subarray(free)
    }
  }

  /** All collected bytes. Later calls of `append` do not change the result. */
  public content (): Buffer {
    if (this._segments.length > 1) this._join()
    return this._segments[0]?.subarray(0, this._byteLength) ?? Buffer.alloc(0)
  }

  /** Discards all bytes. */
  public clear (): void {
    this._segments.length = 0
    this._lastSegmentBytes = 0
    this._byteLength = 0
    this._reservedBytes = 0
  }

  /** The last segment, or a new one if the last one is full. `byteLength`: number of bytes that are to be appended. */
  private _segmentFor (byteLength: number): Buffer {
    const last = this._segments.at(-1)
    if (last !== undefined && this._lastSegmentBytes < last.byteLength) return last
    const growth = last === undefined ? this._expectedBytes : Math.min(MAXIMUM_SEGMENT_BYTES, this._byteLength)
    const segment = Buffer.allocUnsafe(Math.max(MINIMUM_SEGMENT_BYTES, growth, byteLength))
    this._segments.push(segment)
    this._lastSegmentBytes = 0
    this._reservedBytes += segment.byteLength
    return segment
  }

  /** Replaces the segments by a single one without spare capacity. */
  private _join (): void {
    // The spare capacity of the last segment is cut off by the total length.
    const joined = Buffer.concat(this._segments, this._byteLength)
    this._segments.splice(0, this._segments.length, joined)
    this._lastSegmentBytes = joined.byteLength
    this._reservedBytes = joined.byteLength
  }
}
