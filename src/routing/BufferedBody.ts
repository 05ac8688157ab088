/** Request bodies that are held whole, so that they can be sent again. */
import { Readable } from 'node:stream'

/** A readable body whose content is at hand. Every attempt gets its own object over the same content. */
export class BufferedBody extends Readable {
  private _isPushed = false

  constructor (public readonly content: Buffer) {
    super()
  }

  public override _read (): void {
    if (this._isPushed) return
    this._isPushed = true
    this.push(this.content)
    this.push(null)
  }
}

/** Result of reading a body. */
export type BodyReading = Buffer | 'too-large' | 'broken'

/** Reads a whole body of at most `limitBytes`. */
export function readBody (body: Readable, limitBytes: number): Promise<BodyReading> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = []
    let size = 0
    body.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > limitBytes) resolve('too-large')
      else chunks.push(chunk)
    })
    body.on('end', () => resolve(chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)))
    body.on('error', () => resolve('broken'))
    body.on('close', () => resolve('broken'))
  })
}
