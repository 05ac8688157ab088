/** Feeds corrupted documents, rows and checkpoints to their parsers and decoders. */
import { performance } from 'node:perf_hooks'
import { InvariantService } from '../src/common/InvariantService.js'
import { MetricsService } from '../src/common/MetricsService.js'
import { RandomService } from '../src/common/RandomService.js'
import type { ILogService } from '../src/common/Services.js'
import type { ChangeSequence } from '../src/common/Types.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import { MAXIMUM_DOCUMENT_BYTES } from '../src/documents/DocumentSchema.js'
import { SnapshotBuilder } from '../src/documents/SnapshotBuilder.js'
import { decodeCheckpoint, encodeCheckpoint } from '../src/documents/store/CheckpointCodec.js'
import { DOCUMENT_ROW_SCHEMA, MalformedRowError, decodeRow, encodeRow } from '../src/documents/store/Rows.js'
import type { RowKey, RowRevision } from '../src/platform/Types.js'
import { versionOf, writeDocument } from '../testing/documents/DocumentText.js'
import { TextMutator } from '../testing/documents/TextMutator.js'
import { BOUNDS } from './Bounds.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const TEXTS_PER_MINUTE = 100_000
const QUICK_TEXTS = 10_000
/** Number of texts between two corrupted rows, and between two corrupted checkpoints. */
const ROW_INTERVAL = 10
const CHECKPOINT_INTERVAL = 100
const DISCARDING_LOG: ILogService = { log: () => {} }

/** Counts of a fuzz run. */
interface IFuzzCounts {
  texts: number
  valid: number
  refused: number
  rows: number
  checkpoints: number
  failures: number
  slowest: number
}

/** Fuzz run with a seed. */
class DocumentFuzzRun {
  private readonly _counts: IFuzzCounts = { texts: 0, valid: 0, refused: 0, rows: 0, checkpoints: 0, failures: 0, slowest: 0 }
  private readonly _parser = new DocumentParser()
  private readonly _invariants = new InvariantService({ log: DISCARDING_LOG, metrics: new MetricsService() })
  private readonly _builder = new SnapshotBuilder({ parser: this._parser, invariants: this._invariants })
  private readonly _text = writeDocument({ service: 'status', pools: ['endpoints', 'others'], targets: ['status/endpoints', 'fees/endpoints'] })
  private readonly _damage: TextMutator

  constructor (seed: number) {
    this._damage = new TextMutator(new RandomService(seed), this._text)
  }

  public async run (texts: number): Promise<IFuzzCounts> {
    const checkpoint = await this._encodeCheckpoint()
    for (let position = 0; position < texts; position++) {
      this._countFailure(() => this._tryText(this._damage.text(MAXIMUM_DOCUMENT_BYTES)))
      if (position % ROW_INTERVAL === 0) this._countFailure(() => this._tryRow())
      if (position % CHECKPOINT_INTERVAL === 0) await this._tryCheckpoint(checkpoint)
    }
    this._counts.failures += this._invariants.breaches
    return this._counts
  }

  private _tryText (text: string): void {
    const startedAt = performance.now()
    const result = this._parser.parse(text)
    this._counts.slowest = Math.max(this._counts.slowest, performance.now() - startedAt)
    this._counts.texts++
    if (result.isValid) this._counts.valid++
    else this._counts.refused++
    if (!result.isValid && result.faults.length === 0) throw new Error('document was rejected without a reported fault')
    this._builder.build(this._builder.empty, [versionOf('status', 1, text)])
  }

  private _tryRow (): void {
    this._counts.rows++
    const change = { service: 'status', version: 1, hash: '0'.repeat(64), isTombstone: false, sequence: 1, author: 'a', acceptedAt: 1 }
    const row = encodeRow({ change, owner: 'permits', exports: [{ kind: 'pool', resource: 'endpoints' }], references: [] }, DOCUMENT_ROW_SCHEMA)
    try {
      decodeRow({ key: 'status' as RowKey, revision: '1' as RowRevision, value: this._damage.mutate(row) }, DOCUMENT_ROW_SCHEMA)
    } catch (error) {
      if (!(error instanceof MalformedRowError)) throw error
    }
  }

  private async _tryCheckpoint (checkpoint: Uint8Array): Promise<void> {
    this._counts.checkpoints++
    await decodeCheckpoint(this._damage.bytes(checkpoint)).catch(() => { this._counts.failures++ })
  }

  private async _encodeCheckpoint (): Promise<Uint8Array> {
    return await encodeCheckpoint({ sequence: 1 as ChangeSequence, changes: [], texts: new Map([[versionOf('status', 1, this._text).hash, this._text]]) })
  }

  private _countFailure (action: () => void): void {
    try {
      action()
    } catch {
      this._counts.failures++
    }
  }
}

/** Parses a number of texts in proportion to `--minutes`. */
class DocumentFuzz implements IBench {
  public readonly name = 'document-fuzz'
  public readonly summary = 'Corrupted documents, rows and checkpoints: each is read or rejected without unexpected errors; reports the slowest parse'

  public async run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
    const texts = options.quick ? QUICK_TEXTS : TEXTS_PER_MINUTE * options.minutes
    const counts = await new DocumentFuzzRun(options.seed).run(texts)
    report({ name: 'texts', value: counts.texts, unit: 'texts' })
    report({ name: 'valid', value: counts.valid, unit: 'texts' })
    report({ name: 'refused', value: counts.refused, unit: 'texts' })
    report({ name: 'rows', value: counts.rows, unit: 'rows' })
    report({ name: 'checkpoints', value: counts.checkpoints, unit: 'objects' })
    report({ name: 'failures', value: counts.failures, unit: 'failures', bound: BOUNDS.none, direction: 'at-most' })
    report({ name: 'slowest-text', value: counts.slowest, unit: 'ms' })
  }
}

export const DOCUMENT_FUZZ: IBench = new DocumentFuzz()
