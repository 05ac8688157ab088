/** One attempt to accept a submission: reads the current rows, decides, and commits the transaction. */
import type { ChangeSequence, DocumentVersion, Timestamp } from '../common/Types.js'
import { OutcomeUnknownError } from '../platform/PlatformErrors.js'
import type { ITableService } from '../platform/Services.js'
import type { ICondition, IRow, IRowReference, IRowWrite, ITransaction, TransactionOutcome } from '../platform/Types.js'
import { submissionFault, type ICheckedSubmission } from './CheckedSubmission.js'
import { ReferenceChanges } from './ReferenceChanges.js'
import { createDocumentRow } from './store/DocumentRows.js'
import {
  CHANGE_SCHEMA, DOCUMENT_ROW_SCHEMA, HEAD_SCHEMA, LOG_ROW_SCHEMA, SUBMISSION_ROW_SCHEMA, decodeRow, encodeRow, type IDocumentRow
} from './store/Rows.js'
import { HEAD_ROW, SUBMISSIONS_TABLE, changeRow, documentRow, submissionRow, versionRow } from './store/Tables.js'
import type { IAcceptedChange, SubmissionOutcome } from './Types.js'

/** `overtaken`: a concurrent transaction committed first; a further attempt must read again. */
export type AttemptOutcome = SubmissionOutcome | { readonly kind: 'overtaken' }

/** `ready`: the transaction may be sent. */
export type PreparedOutcome = SubmissionOutcome | { readonly kind: 'ready' }

/** Stores the rows that one attempt read; their revisions are the conditions of its transaction. */
export class AcceptanceAttempt {
  private readonly _documentReference: IRowReference
  private _documentRow: IRow | undefined
  private _current: IDocumentRow | undefined
  private _headRow: IRow | undefined
  private _references: ReferenceChanges | undefined
  private _isPossiblyCommitted = false

  constructor (private readonly _table: ITableService, private readonly _checked: ICheckedSubmission, private readonly _now: Timestamp) {
    this._documentReference = documentRow(this._checked.submission.service)
  }

  /** True if the transaction may have committed: it was sent, and the store did not report a failure. */
  public get isPossiblyCommitted (): boolean {
    return this._isPossiblyCommitted
  }

  /** Reads the current state and decides whether the submission may be accepted against it. */
  public async prepare (): Promise<PreparedOutcome> {
    [this._documentRow, this._headRow] = await Promise.all([this._table.read(this._documentReference), this._table.read(HEAD_ROW)])
    this._current = this._documentRow === undefined ? undefined : decodeRow(this._documentRow, DOCUMENT_ROW_SCHEMA)
    const refusal = this._checkOwner()
    if (refusal !== undefined) return refusal
    if (this._currentVersion() !== this._expectedVersion()) return await this._resolveDuplicate()
    const current = this._current
    const { document } = this._checked
    if (document === undefined && current?.change.isTombstone === true) {
      return { kind: 'invalid', faults: [submissionFault(`service was already deleted by version ${current.change.version}`)] }
    }
    this._references = await ReferenceChanges.read(this._table, this._checked.submission.service, current, document)
    const { faults } = this._references
    return faults.length > 0 ? { kind: 'invalid', faults } : { kind: 'ready' }
  }

  /** Sends the transaction. */
  public async commit (): Promise<AttemptOutcome> {
    const change = this._nextChange()
    const conditions = [...this._conditions(), ...this._references?.conditions ?? []]
    const writes = [...this._writes(change), ...this._references?.writes ?? []]
    this._isPossiblyCommitted = true
    const outcome = await this._transact({ conditions, writes })
    if (outcome.isCommitted) return { kind: 'accepted', change, isRepeat: false }
    this._isPossiblyCommitted = false
    // The submission id was used before; reading the document again would not show that.
    return outcome.failed.table === SUBMISSIONS_TABLE ? await this._resolveDuplicate() : { kind: 'overtaken' }
  }

  private async _transact (transaction: ITransaction): Promise<TransactionOutcome> {
    try {
      return await this._table.transact(transaction)
    } catch (error) {
      this._isPossiblyCommitted = error instanceof OutcomeUnknownError
      throw error
    }
  }

  private _checkOwner (): SubmissionOutcome | undefined {
    const { team } = this._checked.submission
    const owner = this._current?.owner ?? this._checked.document?.owner
    if (team === undefined || owner === undefined || team === owner) return undefined
    return { kind: 'forbidden', message: `document belongs to team ${owner}; the submission is of team ${team}` }
  }

  /**
   * Detects a submission that was accepted before, but whose response was lost: either the row of the submission exists,
   * or the version after the expected one has exactly the submitted content. Otherwise returns a conflict or a fault.
   */
  private async _resolveDuplicate (): Promise<SubmissionOutcome> {
    const { submission, hash, document } = this._checked
    const row = await this._table.read(submissionRow(submission.id))
    const accepted = row === undefined ? undefined : decodeRow(row, SUBMISSION_ROW_SCHEMA).change
    const present = this._current?.change
    const isNext = present?.version === this._expectedVersion() + 1
    const change = accepted ?? (isNext ? present : undefined)
    const isSame = change?.service === submission.service && change.hash === hash && change.isTombstone === (document === undefined)
    if (change !== undefined && isSame) return { kind: 'accepted', change, isRepeat: true }
    if (accepted !== undefined) return { kind: 'invalid', faults: [submissionFault('submission id was used for another submission')] }
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
    const row = createDocumentRow(change, this._checked.document, this._current)
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
      version: this._currentVersion() + 1 as DocumentVersion,
      hash,
      isTombstone: document === undefined,
      sequence: lastSequence + 1 as ChangeSequence,
      author: submission.author,
      acceptedAt: Math.floor(this._now) as Timestamp
    }
  }

  private _currentVersion (): number {
    return this._current?.change.version ?? 0
  }

  private _expectedVersion (): number {
    const { expected } = this._checked.submission
    return expected === 'new' ? 0 : expected
  }
}
