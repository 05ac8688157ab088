/** Reads the texts of accepted changes from the store with limited concurrency. */
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { IAcceptedDocuments } from '../documents/Services.js'
import type { IAcceptedChange, IVersionedText } from '../documents/Types.js'
import { SOURCE_BODY_MISSING } from './Events.js'
import { withTimeout } from './Timeouts.js'

/** Dependencies and limits of `TextReader`. */
export interface ITextReaderOptions {
  readonly accepted: IAcceptedDocuments
  readonly clock: IClockService
  readonly log: ILogService
  /** Timeout of one read. */
  readonly timeout: Milliseconds
  /** Maximum number of concurrent reads. */
  readonly concurrency: number
}

/** Texts that were read, and an error if a read failed. */
export interface ITextsRead {
  readonly texts: readonly IVersionedText[]
  readonly error: unknown
}

/** Starts no further reads after an error, but returns the texts that were read. */
export class TextReader {
  private _reads = 0

  constructor (private readonly _options: ITextReaderOptions) {}

  /** Number of texts that were requested from the store since the start. */
  public get reads (): number {
    return this._reads
  }

  /** Reads the texts of `changes`; a tombstone needs no read. */
  public async read (changes: readonly IAcceptedChange[]): Promise<ITextsRead> {
    const queue = [...changes]
    const texts: IVersionedText[] = []
    let error: unknown
    const work = async (): Promise<void> => {
      for (let change = queue.shift(); change !== undefined; change = queue.shift()) {
        const text = await this._readOne(change)
        if (text !== undefined) texts.push(text)
      }
    }
    const workers = Array.from({ length: this._options.concurrency }, () => work().catch((reason: unknown) => {
      error = reason
      queue.length = 0
    }))
    await Promise.all(workers)
    return { texts, error }
  }

  private async _readOne (change: IAcceptedChange): Promise<IVersionedText | undefined> {
    const { service, version, hash, isTombstone } = change
    if (isTombstone) return { service, version, hash, isTombstone, text: '' }
    const { accepted, clock, timeout, log } = this._options
    this._reads++
    const text = await withTimeout(clock, accepted.readText(hash), timeout, 'source.text')
    if (text !== undefined) return { service, version, hash, isTombstone, text }
    log.log(SOURCE_BODY_MISSING, { step: 'source.text', peer: 'store', service, version })
    return undefined
  }
}
