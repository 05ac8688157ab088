/** A platform with writers that accept documents, driven by a manual clock. */
import { RandomService } from '../../src/common/RandomService.js'
import type { DocumentVersion, ServiceName, SubmissionId, TeamName } from '../../src/common/Types.js'
import { AcceptanceService } from '../../src/documents/AcceptanceService.js'
import { AcceptedDocuments } from '../../src/documents/AcceptedDocuments.js'
import { DocumentParser } from '../../src/documents/DocumentParser.js'
import { HEAD_ROW } from '../../src/documents/store/Tables.js'
import type { ISubmission, SubmissionOutcome } from '../../src/documents/Types.js'
import type { ITableService } from '../../src/platform/Services.js'
import { ManualClock } from '../ManualClock.js'
import { RecordingLog } from '../RecordingLog.js'
import { FaultyPlatform } from '../platform/FaultyPlatform.js'
import { runToEnd } from '../RunToEnd.js'

/** What a test gives of a submission. */
export interface ISubmissionDraft {
  readonly service: string
  readonly text?: string
  readonly expected: number
  readonly id?: string
  readonly team?: string
}

/** One node that accepts documents, with its own way to the platform. */
export interface IWriter {
  readonly acceptance: AcceptanceService
  readonly faults: FaultyPlatform['faults']
}

/** Holds the platform of one test. */
export class AcceptanceFixture {
  public readonly clock = new ManualClock()
  public readonly log = new RecordingLog()
  public readonly random: RandomService
  public readonly platform: FaultyPlatform
  /** Reads without faults. */
  public readonly accepted: AcceptedDocuments
  private _submissions = 0

  constructor (seed: number) {
    this.random = new RandomService(seed)
    this.platform = new FaultyPlatform({ clock: this.clock, random: this.random })
    this.accepted = new AcceptedDocuments({ table: this.platform.plainTable, objects: this.platform.plainObjects })
  }

  /** A writer; with `isLogUnordered` its transactions leave out the condition on the head of the change log. */
  public connect (isLogUnordered = false): IWriter {
    const { table, objects, faults } = this.platform.connect()
    const { clock, random, log } = this
    const parser = new DocumentParser()
    const used = isLogUnordered ? withoutHeadCondition(table) : table
    return { acceptance: new AcceptanceService({ table: used, objects, parser, clock, random, log }), faults }
  }

  /** Starts a submission; the clock must be driven for it to end. */
  public start (writer: IWriter, draft: ISubmissionDraft): Promise<SubmissionOutcome> {
    return writer.acceptance.submit(this.complete(draft), this.clock.now())
  }

  public submit (writer: IWriter, draft: ISubmissionDraft): Promise<SubmissionOutcome> {
    return runToEnd(this.clock, this.start(writer, draft))
  }

  public complete (draft: ISubmissionDraft): ISubmission {
    this._submissions++
    return {
      id: (draft.id ?? `submission-${this._submissions}`) as SubmissionId,
      service: draft.service as ServiceName,
      expected: draft.expected === 0 ? 'new' : draft.expected as DocumentVersion,
      text: draft.text,
      author: 'operator',
      team: draft.team as TeamName | undefined
    }
  }
}

/** Lets through what only the order of the change log would stop. */
function withoutHeadCondition (table: ITableService): ITableService {
  return {
    read: (reference) => table.read(reference),
    scan: (scan) => table.scan(scan),
    transact: ({ conditions, writes }) => {
      const kept = conditions.filter((condition) => condition.table !== HEAD_ROW.table)
      return table.transact({ conditions: kept, writes })
    }
  }
}

/** The outcome in one line. */
export function describeOutcome (outcome: SubmissionOutcome): string {
  switch (outcome.kind) {
    case 'accepted': return `accepted ${outcome.change.version}${outcome.isRepeat ? ' again' : ''}`
    case 'conflict': return `conflict with ${outcome.present === undefined ? 'nothing' : outcome.present.version}`
    case 'invalid': return `invalid: ${outcome.faults.map(({ section, key, message }) => `[${section}] ${key}: ${message}`).join('; ')}`
    case 'forbidden': return `forbidden: ${outcome.message}`
  }
}
