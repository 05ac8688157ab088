/** Limits request bodies whose size is not known beforehand. */
import { Transform, type TransformCallback } from 'node:stream'

/** Passes a body on and breaks it off above the limit. */
export class BodyLimiter extends Transform {
  /** True once the limit was passed. */
  public isExceeded = false
  private _bytes = 0

  constructor (private readonly _limitBytes: number) {
    super()
  }

  public override _transform (chunk: Buffer, _encoding: BufferEncoding, callback: TransformCallback): void {
    this._bytes += chunk.length
    this.isExceeded = this._bytes > this._limitBytes
    if (this.isExceeded) callback(new Error('request body too large'))
    else callback(null, chunk)
  }
}
