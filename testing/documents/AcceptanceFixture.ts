/** Test fixture: an in-memory platform with writers that accept documents, driven by a manual clock. */
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
import { advanceUntilSettled } from '../AdvanceUntilSettled.js'

/** Fields of a submission that a test sets. */
export interface ISubmissionDraft {
  readonly service: string
  readonly text?: string
  readonly expected: number
  readonly id?: string
  readonly team?: string
}

/** One node that accepts documents, with its own connection to the platform. */
export interface IWriter {
  readonly acceptance: AcceptanceService
  readonly faults: FaultyPlatform['faults']
}

/** Contains the platform of one test. */
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

  /** Connects a writer; with `isHeadUnchecked` its transactions omit the condition on the head of the change log. */
  public connect (isHeadUnchecked = false): IWriter {
    const { table, objects, faults } = this.platform.connect()
    const { clock, random, log } = this
    const parser = new DocumentParser()
    const usedTable = isHeadUnchecked ? withoutHeadCondition(table) : table
    return { acceptance: new AcceptanceService({ table: usedTable, objects, parser, clock, random, log }), faults }
  }

  /** Starts a submission; it settles only while the clock is advanced. */
  public start (writer: IWriter, draft: ISubmissionDraft): Promise<SubmissionOutcome> {
    return writer.acceptance.submit(this.toSubmission(draft), this.clock.now())
  }

  public submit (writer: IWriter, draft: ISubmissionDraft): Promise<SubmissionOutcome> {
    return advanceUntilSettled(this.clock, this.start(writer, draft))
  }

  public toSubmission (draft: ISubmissionDraft): ISubmission {
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

/** Removes the conditions on the head of the change log, so that only the conditions on documents and references remain. */
function withoutHeadCondition (table: ITableService): ITableService {
  return {
    read: (reference) => table.read(reference),
    scan: (scan) => table.scan(scan),
    transact: ({ conditions, writes }) => {
      const remaining = conditions.filter((condition) => condition.table !== HEAD_ROW.table)
      return table.transact({ conditions: remaining, writes })
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
