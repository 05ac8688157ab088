/** Writes long histories of accepted documents for benchmarks. */
import type { DocumentVersion, ServiceName, SubmissionId, Timestamp } from '../../src/common/Types.js'
import { AcceptanceService, type IAcceptanceServices } from '../../src/documents/AcceptanceService.js'
import type { IDocumentParser } from '../../src/documents/Services.js'
import type { ParseResult } from '../../src/documents/Types.js'
import { writeDocument } from './DocumentText.js'

/** Size of the history. */
export interface IDocumentHistoryWriterOptions {
  readonly services: number
  /** Number of different texts between which each service alternates. */
  readonly textsPerService: number
  /** Number of routes of each document; they make up most of its size. */
  readonly routes: number
}

/** Defaults of `DocumentHistoryWriter`: the number of services of the design size, and documents of about 2.5 KB. */
export const DEFAULT_HISTORY_WRITER_OPTIONS: IDocumentHistoryWriterOptions = Object.freeze({
  services: 360, textsPerService: 4, routes: 16
})

/** Parses each text once, since the benchmark does not measure parsing. */
class CachingParser implements IDocumentParser {
  private readonly _results = new Map<string, ParseResult>()

  constructor (private readonly _inner: IDocumentParser) {}

  public parse (text: string): ParseResult {
    const known = this._results.get(text)
    if (known !== undefined) return known
    const result = this._inner.parse(text)
    this._results.set(text, result)
    return result
  }
}

/** Submits changes of the services, one service after the other. */
export class DocumentHistoryWriter {
  private readonly _acceptance: AcceptanceService
  private readonly _options: IDocumentHistoryWriterOptions
  private _written = 0

  constructor (services: IAcceptanceServices, options: Partial<IDocumentHistoryWriterOptions> = {}) {
    this._options = { ...DEFAULT_HISTORY_WRITER_OPTIONS, ...options }
    this._acceptance = new AcceptanceService({ ...services, parser: new CachingParser(services.parser) })
  }

  /** Accepts `count` further changes. */
  public async write (count: number): Promise<void> {
    const end = this._written + count
    while (this._written < end) await this._writeOne()
  }

  private async _writeOne (): Promise<void> {
    const service = `service-${this._written % this._options.services}`
    const version = Math.floor(this._written / this._options.services)
    const outcome = await this._acceptance.submit({
      id: `submission-${this._written}` as SubmissionId,
      service: service as ServiceName,
      expected: version === 0 ? 'new' : version as DocumentVersion,
      text: this._text(service, version),
      author: 'bench'
    }, this._written as Timestamp)
    if (outcome.kind !== 'accepted') throw new Error(`outcome of change ${this._written} was ${outcome.kind} instead of accepted`)
    this._written++
  }

  private _text (service: string, version: number): string {
    const targets = Array.from({ length: this._options.routes }, () => `${service}/endpoints`)
    return writeDocument({ service, targets, note: `${service} text ${version % this._options.textsPerService}` })
  }
}
