/** Accepts documents and deletions by one conditional transaction each. */
import { Emitter } from '../common/Emitter.js'
import type { IClockService, ILogService, IRandomService } from '../common/Services.js'
import type { IEvent, Milliseconds, Timestamp } from '../common/Types.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../platform/PlatformErrors.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import { AcceptanceAttempt, type AttemptOutcome } from './AcceptanceAttempt.js'
import { AttemptQueue } from './AttemptQueue.js'
import { checkSubmission, type ICheckedSubmission } from './CheckedSubmission.js'
import { DOCUMENT_ACCEPTED, DOCUMENT_REFUSED, SUBMISSION_RETRIED, SUBMISSION_UNDECIDED } from './Events.js'
import type { IAcceptanceService, IDocumentParser } from './Services.js'
import { textObjectKey } from './store/Tables.js'
import type { IAcceptedChange, ISubmission, SubmissionOutcome } from './Types.js'

/** Limits of retries under contention and after lost responses. */
export interface IAcceptanceOptions {
  /** Maximum number of transactions attempted for one submission. */
  readonly attempts: number
  /** Number of lost responses of the store after which the outcome of the submission is reported as unknown. */
  readonly maximumLostResponses: number
  /** Upper bound of the first backoff; full jitter. */
  readonly backoff: Milliseconds
  /** Upper bound of every backoff. */
  readonly backoffLimit: Milliseconds
}

/** Defaults of `AcceptanceService`. */
export const DEFAULT_ACCEPTANCE_OPTIONS: IAcceptanceOptions = Object.freeze({
  attempts: 20, maximumLostResponses: 3, backoff: 200 as Milliseconds, backoffLimit: 4_000 as Milliseconds
})

/** Dependencies of `AcceptanceService`. */
export interface IAcceptanceServices {
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly parser: IDocumentParser
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
}

/**
 * A submission without new references costs 2 reads and 2 writes: the document row and the head row are
 * read, the text is stored, the transaction is sent. Each service with a newly referenced resource
 * adds 2 reads; each service to which references are only removed adds 1, and so does the removal of an exported resource.
 */
export class AcceptanceService implements IAcceptanceService {
  private readonly _services: IAcceptanceServices
  private readonly _options: IAcceptanceOptions
  private readonly _queue = new AttemptQueue()
  private readonly _onAccepted = new Emitter<IAcceptedChange>()
  public readonly onAccepted: IEvent<IAcceptedChange> = this._onAccepted.event

  constructor (services: IAcceptanceServices, options: Partial<IAcceptanceOptions> = {}) {
    this._services = services
    this._options = { ...DEFAULT_ACCEPTANCE_OPTIONS, ...options }
  }

  public async submit (submission: ISubmission, now: Timestamp): Promise<SubmissionOutcome> {
    const checked = checkSubmission(submission, this._services.parser)
    const outcome: SubmissionOutcome = 'submission' in checked
      ? await new Acceptance(this._services, this._options, this._queue, checked, now).run()
      : { kind: 'invalid', faults: checked }
    this._log(submission, outcome)
    if (outcome.kind === 'accepted' && !outcome.isRepeat) this._onAccepted.fire(outcome.change)
    return outcome
  }

  private _log (submission: ISubmission, outcome: SubmissionOutcome): void {
    const fields = { step: 'documents.accept', service: submission.service, submission: submission.id, author: submission.author }
    if (outcome.kind === 'accepted') {
      const { version, hash, sequence } = outcome.change
      this._services.log.log(DOCUMENT_ACCEPTED, { ...fields, version, hash, sequence, isRepeat: outcome.isRepeat })
    } else {
      this._services.log.log(DOCUMENT_REFUSED, { ...fields, kind: outcome.kind })
    }
  }
}

/** Runs the attempts of one submission. */
class Acceptance {
  private _isTextStored = false
  /** True once the response to a transaction was lost. */
  private _isOutcomeUnknown = false
  private _lostResponses = 0

  constructor (
    private readonly _services: IAcceptanceServices,
    private readonly _options: IAcceptanceOptions,
    private readonly _queue: AttemptQueue,
    private readonly _checked: ICheckedSubmission,
    private readonly _now: Timestamp
  ) {}

  public async run (): Promise<SubmissionOutcome> {
    try {
      return await this._run()
    } catch (cause) {
      if (!this._isOutcomeUnknown || cause instanceof OutcomeUnknownError) throw cause
      // The last attempt wrote nothing, but an earlier one may have.
      throw new OutcomeUnknownError('the submission may have been accepted', { step: 'documents.accept', peer: 'table service', cause })
    }
  }

  private async _run (): Promise<SubmissionOutcome> {
    for (let attempt = 1; attempt <= this._options.attempts; attempt++) {
      const outcome = await this._queue.run(() => this._attempt())
      if (outcome.kind !== 'overtaken') return outcome
      await this._backOff(attempt)
    }
    throw new PlatformUnavailableError('too many concurrent changes', { step: 'documents.accept', peer: 'table service' })
  }

  private async _attempt (): Promise<AttemptOutcome> {
    const attempt = new AcceptanceAttempt(this._services.table, this._checked, this._now)
    try {
      const prepared = await attempt.prepare()
      if (prepared.kind !== 'ready') return prepared
      // The text is stored before the transaction, so that the text of every change in the log exists.
      await this._storeText()
      return await attempt.commit()
    } catch (error) {
      this._isOutcomeUnknown ||= attempt.isPossiblyCommitted
      this._lostResponses++
      if (!(error instanceof OutcomeUnknownError) || this._lostResponses >= this._options.maximumLostResponses) throw error
      this._services.log.log(SUBMISSION_UNDECIDED, { step: error.step, peer: error.peer, submission: this._checked.submission.id })
      // The conditions make a second commit of the same submission impossible, so a retry is safe.
      return { kind: 'overtaken' }
    }
  }

  private async _storeText (): Promise<void> {
    const { submission, hash } = this._checked
    if (submission.text === undefined || this._isTextStored) return
    const key = textObjectKey(hash)
    try {
      await this._services.objects.put(key, Buffer.from(submission.text), 'absent')
    } catch (error) {
      if (!(error instanceof OutcomeUnknownError) || await this._services.objects.get(key) === undefined) throw error
    }
    this._isTextStored = true
  }

  private async _backOff (attempt: number): Promise<void> {
    const { service, id } = this._checked.submission
    this._services.log.log(SUBMISSION_RETRIED, { step: 'documents.accept', service, submission: id, attempt })
    const limit = Math.min(this._options.backoffLimit, this._options.backoff * 2 ** (attempt - 1))
    await this._services.clock.sleep(this._services.random.fraction() * limit as Milliseconds)
  }
}
