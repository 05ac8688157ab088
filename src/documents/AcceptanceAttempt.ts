/** One attempt to accept a submission: what is read, what is decided, and the transaction that follows. */
import type { ChangeSequence, DocumentVersion, Timestamp } from '../common/Types.js'
import { OutcomeUnknownError } from '../platform/PlatformErrors.js'
import type { ITableService } from '../platform/Services.js'
import type { ICondition, IRow, IRowReference, IRowWrite, ITransaction, TransactionOutcome } from '../platform/Types.js'
import { wholeFault, type ICheckedSubmission } from './CheckedSubmission.js'
import { ReferenceChanges } from './ReferenceChanges.js'
import { describeDocument } from './store/DocumentRows.js'
import {
  CHANGE_SCHEMA, DOCUMENT_ROW_SCHEMA, HEAD_SCHEMA, LOG_ROW_SCHEMA, SUBMISSION_ROW_SCHEMA, decodeRow, encodeRow, type IDocumentRow
} from './store/Rows.js'
import { HEAD_ROW, SUBMISSIONS_TABLE, changeRow, documentRow, submissionRow, versionRow } from './store/Tables.js'
import type { IAcceptedChange, SubmissionOutcome } from './Types.js'

/** `overtaken`: another transaction came first; read again and decide again. */
export type AttemptOutcome = SubmissionOutcome | { readonly kind: 'overtaken' }

/** `ready`: the transaction may be sent. */
export type PreparedOutcome = SubmissionOutcome | { readonly kind: 'ready' }

/** Holds what one attempt read. */
export class AcceptanceAttempt {
  private readonly _documentReference: IRowReference
  private _documentRow: IRow | undefined
  private _present: IDocumentRow | undefined
  private _headRow: IRow | undefined
  private _references: ReferenceChanges | undefined
  private _isSent = false

  constructor (private readonly _table: ITableService, private readonly _checked: ICheckedSubmission, private readonly _now: Timestamp) {
    this._documentReference = documentRow(this._checked.submission.service)
  }

  /** True if the transaction may have committed: it was sent and not answered as refused. */
  public get isSent (): boolean {
    return this._isSent
  }

  /** Reads the present state and decides whether the submission may be accepted against it. */
  public async prepare (): Promise<PreparedOutcome> {
    [this._documentRow, this._headRow] = await Promise.all([this._table.read(this._documentReference), this._table.read(HEAD_ROW)])
    this._present = this._documentRow === undefined ? undefined : decodeRow(this._documentRow, DOCUMENT_ROW_SCHEMA)
    const refusal = this._checkOwner()
    if (refusal !== undefined) return refusal
    if (this._presentVersion() !== this._expectedVersion()) return await this._findRepeat()
    const present = this._present
    const { document } = this._checked
    if (document === undefined && present?.change.isTombstone === true) {
      return { kind: 'invalid', faults: [wholeFault(`service was already deleted by version ${present.change.version}`)] }
    }
    this._references = await ReferenceChanges.read(this._table, this._checked.submission.service, present, document)
    const { faults } = this._references
    return faults.length > 0 ? { kind: 'invalid', faults } : { kind: 'ready' }
  }

  /** Sends the transaction. */
  public async commit (): Promise<AttemptOutcome> {
    const change = this._nextChange()
    const conditions = [...this._conditions(), ...this._references?.conditions ?? []]
    const writes = [...this._writes(change), ...this._references?.writes ?? []]
    this._isSent = true
    const outcome = await this._transact({ conditions, writes })
    if (outcome.isCommitted) return { kind: 'accepted', change, isRepeat: false }
    this._isSent = false
    // The id was used before; reading the document again would not tell so.
    return outcome.failed.table === SUBMISSIONS_TABLE ? await this._findRepeat() : { kind: 'overtaken' }
  }

  private async _transact (transaction: ITransaction): Promise<TransactionOutcome> {
    try {
      return await this._table.transact(transaction)
    } catch (error) {
      this._isSent = error instanceof OutcomeUnknownError
      throw error
    }
  }

  private _checkOwner (): SubmissionOutcome | undefined {
    const { team } = this._checked.submission
    const owner = this._present?.owner ?? this._checked.document?.owner
    if (team === undefined || owner === undefined || team === owner) return undefined
    return { kind: 'forbidden', message: `document belongs to team ${owner}; the submission is of team ${team}` }
  }

  /**
   * The submission may have been accepted before, with a lost answer: either its row tells so,
   * or the version after the expected one has exactly its content.
   */
  private async _findRepeat (): Promise<SubmissionOutcome> {
    const { submission, hash, document } = this._checked
    const row = await this._table.read(submissionRow(submission.id))
    const accepted = row === undefined ? undefined : decodeRow(row, SUBMISSION_ROW_SCHEMA).change
    const present = this._present?.change
    const isNext = present?.version === this._expectedVersion() + 1
    const change = accepted ?? (isNext ? present : undefined)
    const isSame = change?.service === submission.service && change.hash === hash && change.isTombstone === (document === undefined)
    if (change !== undefined && isSame) return { kind: 'accepted', change, isRepeat: true }
    if (accepted !== undefined) return { kind: 'invalid', faults: [wholeFault('submission id was used for another submission')] }
    return { kind: 'conflict', present }
  }

  private _conditions (): ICondition[] {
    return [
      { ...this._documentReference, expected: this._documentRow?.revision ?? 'absent' },
      { ...HEAD_ROW, expected: this._headRow?.revision ?? 'absent' },
      { ...submissionRow(this._checked.submission.id), expected: 'absent' }
    ]
  }

  private _writes (change: IAcceptedChange): IRowWrite[] {
    const { service, version, sequence } = change
    const { id } = this._checked.submission
    const row = describeDocument(change, this._checked.document, this._present)
    return [
      { ...documentRow(service), value: encodeRow(row, DOCUMENT_ROW_SCHEMA) },
      { ...HEAD_ROW, value: encodeRow({ sequence }, HEAD_SCHEMA) },
      { ...changeRow(sequence), value: encodeRow({ ...change, submission: id }, LOG_ROW_SCHEMA) },
      { ...versionRow(service, version), value: encodeRow(change, CHANGE_SCHEMA) },
      { ...submissionRow(id), value: encodeRow({ change }, SUBMISSION_ROW_SCHEMA) }
    ]
  }

  private _nextChange (): IAcceptedChange {
    const { submission, document, hash } = this._checked
    const lastSequence = this._headRow === undefined ? 0 : decodeRow(this._headRow, HEAD_SCHEMA).sequence
    return {
      service: submission.service,
      version: this._presentVersion() + 1 as DocumentVersion,
      hash,
      isTombstone: document === undefined,
      sequence: lastSequence + 1 as ChangeSequence,
      author: submission.author,
      acceptedAt: Math.floor(this._now) as Timestamp
    }
  }

  private _presentVersion (): number {
    return this._present?.change.version ?? 0
  }

  private _expectedVersion (): number {
    const { expected } = this._checked.submission
    return expected === 'new' ? 0 : expected
  }
}
