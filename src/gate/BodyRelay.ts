/** Forwards a request body from the stream of its sender to the stream that an HTTP client reads. */
import { Readable } from 'node:stream'
import { ByteCollector } from '../common/ByteCollector.js'

/** Options of `BodyRelay`. */
export interface IBodyRelayOptions {
  /** Maximum size of the body in bytes; a larger body fails the relay. */
  readonly maximumBytes: number
  /** Called with each chunk that is received from the source. */
  readonly onChunk: (chunk: Uint8Array) => void
}

/** Defaults of `BodyRelay`. */
export const DEFAULT_BODY_RELAY_OPTIONS: IBodyRelayOptions = Object.freeze({ maximumBytes: Infinity, onChunk: () => undefined })

/** While the reader is slower than the sender, this many bytes are held before the source is paused. */
const MAXIMUM_HELD_BYTES = 65_536

/**
 * Reads the source only once it is read itself. Chunks that wait for the reader are joined: a queue of a stream takes some 200 bytes for
 * each chunk, whose size the sender chooses. Destroying the relay does not destroy the source, since undici destroys the body of a failed
 * request; the rest of the source is discarded.
 */
export class BodyRelay extends Readable {
  /** True after the body has exceeded the maximum size. */
  public isExceeded = false
  private readonly _options: IBodyRelayOptions
  private readonly _held = new ByteCollector()
  private _receivedBytes = 0
  private _isStarted = false
  /** True while the reader waits for bytes. */
  private _isWanted = false
  private _hasEnded = false

  constructor (private readonly _source: Readable, options: Partial<IBodyRelayOptions> = {}) {
    // With the smallest limit, the stream itself queues one piece at most; the others are joined here.
    super({ highWaterMark: 1 })
    this._options = { ...DEFAULT_BODY_RELAY_OPTIONS, ...options }
  }

  public override _read (): void {
    this._isWanted = true
    if (!this._isStarted) return this._start()
    if (this._held.byteLength > 0) this._forwardHeld()
    else if (this._hasEnded) this.push(null)
  }

  public override _destroy (error: Error | null, callback: (error: Error | null) => void): void {
    this._held.clear()
    if (this._isStarted) {
      this._source.off('data', this._onData)
      this._source.resume()
    }
    callback(error)
  }

  private _start (): void {
    this._isStarted = true
    this._source.on('data', this._onData)
    this._source.once('end', this._onEnd)
    this._source.once('error', (error: Error) => this.destroy(error))
    this._source.once('close', () => {
      if (!this._source.readableEnded) this.destroy(new Error('request body ended prematurely'))
    })
    this._source.resume()
  }

  private readonly _onData = (chunk: Buffer): void => {
    this._receivedBytes += chunk.byteLength
    this._options.onChunk(chunk)
    this.isExceeded = this._receivedBytes > this._options.maximumBytes
    if (this.isExceeded) {
      this.destroy(new Error('request body too large'))
      return
    }
    if (this._isWanted) {
      this._isWanted = false
      this.push(chunk)
      return
    }
    this._held.append(chunk)
    if (this._held.byteLength >= MAXIMUM_HELD_BYTES) this._source.pause()
  }

  private readonly _onEnd = (): void => {
    this._hasEnded = true
    if (this._isWanted) this.push(null)
  }

  private _forwardHeld (): void {
    const content = this._held.content()
    this._held.clear()
    this._isWanted = false
    this._source.resume()
    this.push(content)
  }
}
