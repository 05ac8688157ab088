/** Parses each text once for all nodes of a fleet, which in a deployment parse it at the same time on VMs of their own. */
import { DocumentParser } from '../../src/documents/DocumentParser.js'
import type { IDocumentParser } from '../../src/documents/Services.js'
import type { ParseResult } from '../../src/documents/Types.js'

/** Results kept. */
const KEPT_RESULTS = 512

/** The results are immutable, so nodes can share them. */
export class SharedParser implements IDocumentParser {
  private readonly _parser = new DocumentParser()
  private readonly _results = new Map<string, ParseResult>()

  public parse (text: string): ParseResult {
    const known = this._results.get(text)
    if (known !== undefined) return known
    const result = this._parser.parse(text)
    this._results.set(text, result)
    const [oldest] = this._results.keys()
    if (this._results.size > KEPT_RESULTS) this._results.delete(oldest)
    return result
  }
}
