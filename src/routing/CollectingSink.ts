/** Buffers a response in memory. */
import type { IncomingHttpHeaders } from 'node:http'
import { ByteCollector } from '../common/ByteCollector.js'
import type { IEvent } from '../common/Types.js'
import type { IAnswerSink } from '../gate/Types.js'

/** Writes to memory never block, so `onDrained` never fires. */
const NEVER: IEvent<void> = () => ({ dispose: () => undefined })

/** Stores status, headers and body. */
export class CollectingSink implements IAnswerSink {
  public readonly onDrained = NEVER
  public status = 0
  public headers: IncomingHttpHeaders = {}
  public hasBegun = false
  private readonly _collector = new ByteCollector()

  /** The body received so far; empty after `abort`. */
  public get body (): Buffer {
    return this._collector.content()
  }

  public begin (status: number, headers: IncomingHttpHeaders): void {
    this.hasBegun = true
    this.status = status
    this.headers = headers
  }

  public write (chunk: Uint8Array): boolean {
    this._collector.append(chunk)
    return true
  }

  public end (): void {}

  /** Discards the body, so that a truncated response never looks complete. */
  public abort (): void {
    this._collector.clear()
  }
}
