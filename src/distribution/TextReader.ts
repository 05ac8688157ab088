/** Reads the texts of accepted changes from the store, a few at a time. */
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { IAcceptedDocuments } from '../documents/Services.js'
import type { IAcceptedChange, IVersionedText } from '../documents/Types.js'
import { SOURCE_BODY_MISSING } from './Events.js'
import { withTimeout } from './Timeouts.js'

/** What the text reader needs. */
export interface ITextReaderOptions {
  readonly accepted: IAcceptedDocuments
  readonly clock: IClockService
  readonly log: ILogService
  /** Time that one read may take. */
  readonly timeout: Milliseconds
  /** Reads under way at the same time. */
  readonly concurrency: number
}

/** Texts that were read, and the first error, if there was one. */
export interface ITextsRead {
  readonly texts: readonly IVersionedText[]
  readonly error: unknown
}

/** Stops at the first error, but keeps what was read before it. */
export class TextReader {
  private _reads = 0

  constructor (private readonly _options: ITextReaderOptions) {}

  /** Bodies read since start. */
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
