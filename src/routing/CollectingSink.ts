/** Collects an answer in memory. */
import type { IncomingHttpHeaders } from 'node:http'
import type { IEvent } from '../common/Types.js'
import type { IAnswerSink } from '../gate/Types.js'

/** Nothing waits in memory, so the reader is never slow. */
const NEVER: IEvent<void> = () => ({ dispose: () => undefined })

/** Keeps status, headers and body. */
export class CollectingSink implements IAnswerSink {
  public readonly onDrained = NEVER
  public status = 0
  public headers: IncomingHttpHeaders = {}
  public hasBegun = false
  private readonly _chunks: Uint8Array[] = []

  /** The body as far as it came. */
  public get body (): Buffer {
    return Buffer.concat(this._chunks)
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this.hasBegun = true
    this.status = status
    this.headers = headers
  }

  public write (chunk: Uint8Array): boolean {
    this._chunks.push(chunk)
    return true
  }

  public end (): void {}

  /** A part never looks whole. */
  public abort (): void {
    this._chunks.length = 0
  }
}
