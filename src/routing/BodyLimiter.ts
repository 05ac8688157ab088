/** Limits request bodies of unknown size. */
import { Transform, type TransformCallback } from 'node:stream'

/** Forwards a body and fails if it exceeds the limit. */
export class BodyLimiter extends Transform {
  /** True after the limit has been exceeded. */
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
