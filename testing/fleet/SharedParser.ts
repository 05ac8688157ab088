/** Parses each text only once for all nodes of a fleet; in a deployment, the nodes parse it in parallel on separate VMs. */
import { DocumentParser } from '../../src/documents/DocumentParser.js'
import type { IDocumentParser } from '../../src/documents/Services.js'
import type { ParseResult } from '../../src/documents/Types.js'

const MAXIMUM_CACHED_RESULTS = 512

/** The results are immutable, so nodes can share them. */
export class SharedParser implements IDocumentParser {
  private readonly _parser = new DocumentParser()
  private readonly _results = new Map<string, ParseResult>()

  public parse (text: string): ParseResult {
    const cached = this._results.get(text)
    if (cached !== undefined) return cached
    const result = this._parser.parse(text)
    this._results.set(text, result)
    const [oldest] = this._results.keys()
    if (this._results.size > MAXIMUM_CACHED_RESULTS) this._results.delete(oldest)
    return result
  }
}
