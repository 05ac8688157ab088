/** Store operations of a starting reader, for change histories of different lengths. */
import { ClockService } from '../src/common/ClockService.js'
import { Emitter } from '../src/common/Emitter.js'
import { RandomService } from '../src/common/RandomService.js'
import type { ILogService } from '../src/common/Services.js'
import type { ChangeSequence, ContentHash, ServiceName } from '../src/common/Types.js'
import { AcceptedDocuments } from '../src/documents/AcceptedDocuments.js'
import { CheckpointService, DEFAULT_CHECKPOINT_OPTIONS } from '../src/documents/CheckpointService.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import type { IAcceptedDocuments } from '../src/documents/Services.js'
import type { IAcceptedChange } from '../src/documents/Types.js'
import { CHANGES_TABLE, FIRST_KEY } from '../src/documents/store/Tables.js'
import { DocumentHistoryWriter } from '../testing/documents/DocumentHistoryWriter.js'
import { FaultyPlatform } from '../testing/platform/FaultyPlatform.js'
import { BOUNDS } from './Bounds.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const HISTORY_LENGTHS = [10, 1_000, 100_000]
const QUICK_HISTORY_LENGTHS = [10, 1_000, 4_000]
/** Number of changes after the newest checkpoint: half of the checkpoint interval, which is the average. */
const CHANGES_AFTER_CHECKPOINT = DEFAULT_CHECKPOINT_OPTIONS.interval / 2
const PAGE_CHANGES = 500

/** Reads the newest text of every service and returns the number of texts. */
type ReadStrategy = (accepted: IAcceptedDocuments) => Promise<number>

/** Cost of one read of all services. */
interface IReadCost {
  readonly reads: number
  readonly bytes: number
  readonly services: number
  readonly milliseconds: number
}

/** Reads the checkpoint, the change log after it, and the texts changed since then. */
const readFromCheckpoint: ReadStrategy = async (accepted) => {
  const { changes, texts } = await accepted.readAll()
  return await countTexts(accepted, changes, texts)
}

/** Baseline: reads the complete change log and the newest text of every service. */
const readCompleteLog: ReadStrategy = async (accepted) => {
  const newest = new Map<ServiceName, IAcceptedChange>()
  let after = 0 as ChangeSequence
  for (;;) {
    const changes = await accepted.changesAfter(after, PAGE_CHANGES)
    for (const change of changes) newest.set(change.service, change)
    after = changes.at(-1)?.sequence ?? after
    if (changes.length < PAGE_CHANGES) return await countTexts(accepted, [...newest.values()])
  }
}

async function countTexts (
  accepted: IAcceptedDocuments, changes: readonly IAcceptedChange[], known?: ReadonlyMap<ContentHash, string>
): Promise<number> {
  let count = 0
  for (const { hash } of changes) {
    const text = known?.get(hash) ?? await accepted.readText(hash)
    if (text !== undefined) count++
  }
  return count
}

/** A platform with a history of changes. */
class History {
  private readonly _services: { readonly clock: ClockService, readonly random: RandomService, readonly log: ILogService }
  private readonly _platform: FaultyPlatform
  private readonly _writer: DocumentHistoryWriter

  constructor (seed: number) {
    this._services = { clock: new ClockService(), random: new RandomService(seed), log: { log: () => {} } }
    this._platform = new FaultyPlatform(this._services)
    const { plainTable: table, plainObjects: objects } = this._platform
    this._writer = new DocumentHistoryWriter({ ...this._services, table, objects, parser: new DocumentParser() })
  }

  public write (changes: number): Promise<void> {
    return this._writer.write(changes)
  }

  /** Writes a checkpoint; retains the complete change log if `isTrimmed` is false. */
  public async writeCheckpoint (isTrimmed: boolean): Promise<void> {
    const { event: onAccepted } = new Emitter<IAcceptedChange>()
    const services = { table: this._platform.plainTable, objects: this._platform.plainObjects, log: this._services.log, onAccepted }
    await new CheckpointService(services, isTrimmed ? {} : { retainedChanges: Number.MAX_SAFE_INTEGER }).write()
  }

  public async countLogRows (): Promise<number> {
    const rows = await this._platform.plainTable.scan({ table: CHANGES_TABLE, fromKey: FIRST_KEY, limit: Number.MAX_SAFE_INTEGER })
    return rows.length
  }

  public async measure (read: ReadStrategy): Promise<IReadCost> {
    const { faults, table, objects } = this._platform.connect()
    const startedAt = this._services.clock.now()
    const services = await read(new AcceptedDocuments({ table, objects }))
    const milliseconds = this._services.clock.now() - startedAt
    return { reads: faults.counts.reads, bytes: faults.counts.readBytes, services, milliseconds }
  }
}

/** Measures each history length on a separate platform. */
class FreshReader implements IBench {
  public readonly name = 'fresh-reader'
  public readonly summary = 'Reads and bytes of a starting reader after 10, 1,000 and 100,000 changes; baseline: the complete change log'

  public async run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
    let previous: IReadCost | undefined
    for (const changes of options.quick ? QUICK_HISTORY_LENGTHS : HISTORY_LENGTHS) {
      const cost = await measureHistory(changes, options, report)
      // Histories with the same number of services must have the same cost, regardless of their length.
      if (previous?.services === cost.services) {
        report({ name: `checkpoint-${changes}-growth-reads`, value: cost.reads - previous.reads, unit: 'reads', bound: BOUNDS.none, direction: 'at-most' })
      }
      previous = cost
    }
  }
}

async function measureHistory (changes: number, options: IBenchOptions, report: (figure: IFigure) => void): Promise<IReadCost> {
  const history = new History(options.seed)
  const after = Math.min(CHANGES_AFTER_CHECKPOINT, Math.floor(changes / 2))
  await history.write(changes - after)
  await history.writeCheckpoint(false)
  await history.write(after)
  const cost = await history.measure(readFromCheckpoint)
  reportCost(`checkpoint-${changes}`, cost, report)
  if (options.baseline) reportCost(`whole-log-${changes}`, await history.measure(readCompleteLog), report)
  await history.writeCheckpoint(true)
  report({ name: `checkpoint-${changes}-log-rows`, value: await history.countLogRows(), unit: 'rows' })
  return cost
}

function reportCost (name: string, cost: IReadCost, report: (figure: IFigure) => void): void {
  report({ name: `${name}-reads`, value: cost.reads, unit: 'reads' })
  report({ name: `${name}-bytes`, value: cost.bytes, unit: 'bytes' })
  report({ name: `${name}-services`, value: cost.services, unit: 'services' })
  report({ name: `${name}-time`, value: cost.milliseconds, unit: 'ms' })
}

export const FRESH_READER: IBench = new FreshReader()
