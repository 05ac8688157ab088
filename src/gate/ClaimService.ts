/** Runs at-most-once requests under claims in the table service. */
import { randomBytes } from 'node:crypto'
import { Disposable } from '../common/Disposable.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import { PlatformUnavailableError } from '../platform/PlatformErrors.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRow, ObjectKey } from '../platform/Types.js'
import { ClaimFinisher, type IHeldClaim } from './ClaimFinisher.js'
import { claimHash, claimReference, decodeClaim, encodeClaim, recordedHeaders, type Claim, type RecordedAnswer } from './ClaimRow.js'
import { CLAIM_STORE_RECOVERED, CLAIM_STORE_UNAVAILABLE } from './Events.js'
import type { GateMetrics } from './GateMetrics.js'
import { GroupCommit } from './GroupCommit.js'
import { readBodyInTime } from './KeptBody.js'
import { RecordingSink } from './RecordingSink.js'
import type { IClaimService } from './Services.js'
import type { CallOutcome, IAnswerSink, ICall, NotRunReason } from './Types.js'

/** Settings of the claims. */
export interface IClaimSettings {
  /** Longest wait for a claim to be decided. */
  readonly timeout: Milliseconds
  /** Most claims written in one transaction. */
  readonly batch: number
  /** Most claims undecided at the same time. */
  readonly capacity: number
  /** Largest request body of an at-most-once request. */
  readonly requestBytes: number
  /** Largest answer body that is recorded. */
  readonly recordBytes: number
  /** Recorded bodies up to this size stay in the row. */
  readonly inlineBytes: number
}

/** Defaults of `ClaimService`. */
export const DEFAULT_CLAIM_SETTINGS: IClaimSettings = Object.freeze({
  timeout: 2_000 as Milliseconds,
  batch: 64,
  capacity: 512,
  requestBytes: 1_048_576,
  recordBytes: 1_048_576,
  inlineBytes: 4_096
})

/** What the claims need. */
export interface IClaimServiceOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: GateMetrics
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly node: NodeId
  readonly settings?: Partial<IClaimSettings>
}

/** How a claim was decided. */
type Decision =
  | { readonly kind: 'won' }
  /** Another attempt holds the key. */
  | { readonly kind: 'held', readonly claim: Claim }
  /** The store gave no answer. `isWritten`: a write of the claim may have taken effect. */
  | { readonly kind: 'undecided', readonly isWritten: boolean }

/** Runs the request; called only by the winner of the claim. */
export type RunClaimed = (content: Buffer | undefined, sink: IAnswerSink) => Promise<CallOutcome>

/** Time between two tries to write a claim. */
const RETRY_DELAY_MS = 20 as Milliseconds
const TOKEN_BYTES = 16
const STEP = 'gate.claim'

/** An attempt to claim a key; given up when its time is over. */
interface IAttempt extends IHeldClaim {
  isGivenUp: boolean
  isWritten: boolean
}

/** Claims, runs, records, replays. */
export class ClaimService extends Disposable implements IClaimService {
  private readonly _options: IClaimServiceOptions
  private readonly _settings: IClaimSettings
  private readonly _commits: GroupCommit
  private readonly _finisher: ClaimFinisher
  /** Hash of each request whose key is in use at this gate, by row key. */
  private readonly _active = new Map<string, string>()
  /** Calls whose claim was won and whose first byte has not been sent. */
  private readonly _permissions = new Set<ICall>()
  private _isStoreDown = false

  constructor (options: IClaimServiceOptions) {
    super()
    this._options = options
    this._settings = { ...DEFAULT_CLAIM_SETTINGS, ...options.settings }
    const { table, clock, log, objects, metrics } = options
    const { batch, timeout, capacity, inlineBytes } = this._settings
    const onTransaction = (rows: number): void => {
      metrics.claimTransactions.inc()
      metrics.claimRows.inc(rows)
    }
    this._commits = new GroupCommit({ table, clock, batch, timeout, onTransaction })
    this._finisher = new ClaimFinisher({ clock, log, table, objects, commits: this._commits, capacity: capacity * 2, inlineBytes })
  }

  public get pending (): number {
    return this._active.size + this._finisher.pending
  }

  /** Waits a bounded time for claims to be settled, so that repeats are answered after this node is gone. */
  public async stop (): Promise<void> {
    const { clock } = this._options
    const end = clock.now() + this._settings.timeout
    while (this.pending > 0 && clock.now() < end) await clock.sleep(RETRY_DELAY_MS)
    this.dispose()
  }

  public override dispose (): void {
    super.dispose()
    this._finisher.stop()
  }

  /** Runs `call` at most once for its key, or answers as that one run was answered. Never rejects. */
  public async execute (call: ICall, sink: IAnswerSink, run: RunClaimed): Promise<CallOutcome> {
    if (call.idempotencyKey === undefined) return this._refuse('key-missing')
    const reference = claimReference(call)
    if (reference === undefined) return this._refuse('malformed')
    if (this._active.size >= this._settings.capacity) return this._refuse('overloaded')
    const content = await this._read(call)
    if (typeof content === 'string') return this._refuse(content)
    const hash = claimHash(call, content)
    const active = this._active.get(reference.key)
    if (active !== undefined) return active === hash ? this._inProgress() : this._refuse('key-conflict')
    this._active.set(reference.key, hash)
    try {
      const token = randomBytes(TOKEN_BYTES).toString('base64url')
      const claim: Claim = { state: 'claimed', token, hash, node: this._options.node, at: this._options.clock.now() }
      return await this._claimAndRun(call, { reference, claim, isGivenUp: false, isWritten: false }, content, sink, run)
    } finally {
      this._active.delete(reference.key)
    }
  }

  /** True once for each call whose claim was won: the permission to send its first byte. */
  public takePermission (call: ICall): boolean {
    return this._permissions.delete(call)
  }

  private async _claimAndRun (
    call: ICall, attempt: IAttempt, content: Buffer | undefined, sink: IAnswerSink, run: RunClaimed
  ): Promise<CallOutcome> {
    const decision = await this._decideInTime(attempt, call.deadlineAt)
    this._options.metrics.claims.inc({ result: decision.kind })
    if (decision.kind === 'held') return await this._answerAsHeld(decision.claim, attempt.claim.hash, sink)
    if (decision.kind === 'undecided') {
      if (decision.isWritten) this._finisher.void(attempt)
      return this._refuse('store-unavailable')
    }
    const recorder = new RecordingSink(sink, this._settings.recordBytes)
    this._permissions.add(call)
    const outcome = await run(content, recorder)
    this._permissions.delete(call)
    if (outcome.kind === 'answered') this._finisher.record(attempt, recorder.answer)
    else if (outcome.kind === 'unknown') this._finisher.recordLost(attempt)
    else this._finisher.void(attempt)
    return outcome
  }

  /** The whole body, undefined if there is none, or why it can't be had. */
  private async _read (call: ICall): Promise<Buffer | undefined | NotRunReason> {
    const limit = this._settings.requestBytes
    if (call.bodyContent !== undefined) return call.bodyContent.byteLength > limit ? 'too-large' : call.bodyContent
    if (call.body === undefined) return undefined
    if ((call.bodyBytes ?? 0) > limit) return 'too-large'
    const start = await readBodyInTime(call.body, limit, call.deadlineAt, this._options.clock)
    if (start === undefined) return 'cancelled'
    return start.isWhole ? start.content : 'too-large'
  }

  /** Decides the claim; when the time is over it is given up, and never started thereafter. */
  private _decideInTime (attempt: IAttempt, deadlineAt: Timestamp): Promise<Decision> {
    const { clock } = this._options
    const patience = Math.min(this._settings.timeout, deadlineAt - clock.now()) as Milliseconds
    return new Promise((resolve) => {
      const timer = clock.after(patience, () => {
        attempt.isGivenUp = true
        this._noteStore(false)
        resolve({ kind: 'undecided', isWritten: true })
      })
      this._decide(attempt).then((decision) => {
        timer.dispose()
        resolve(decision)
      }, () => {
        timer.dispose()
        resolve({ kind: 'undecided', isWritten: true })
      })
    })
  }

  private async _decide (attempt: IAttempt): Promise<Decision> {
    let expected: 'absent' | IRow['revision'] = 'absent'
    while (!attempt.isGivenUp) {
      const isCommitted = await this._insert(attempt, expected)
      if (isCommitted === true) return { kind: 'won' }
      if (isCommitted === undefined) await this._options.clock.sleep(RETRY_DELAY_MS)
      const row = await this._readRow(attempt)
      if (row === 'unavailable') {
        if (!attempt.isWritten) return { kind: 'undecided', isWritten: false }
        continue
      }
      expected = row?.revision ?? 'absent'
      const claim = row === undefined ? undefined : decodeClaim(row)
      if (claim === undefined || claim.state === 'voided') continue
      return claim.token === attempt.claim.token ? { kind: 'won' } : { kind: 'held', claim }
    }
    return { kind: 'undecided', isWritten: true }
  }

  /** True: the claim was written; false: its condition did not hold; undefined: not known. */
  private async _insert (attempt: IAttempt, expected: 'absent' | IRow['revision']): Promise<boolean | undefined> {
    try {
      const isCommitted = await this._commits.submit({ ...attempt.reference, expected, value: encodeClaim(attempt.claim) })
      this._noteStore(true)
      return isCommitted
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) attempt.isWritten = true
      return undefined
    }
  }

  private async _readRow (attempt: IAttempt): Promise<IRow | undefined | 'unavailable'> {
    try {
      const row = await this._options.table.read(attempt.reference)
      this._noteStore(true)
      return row
    } catch {
      this._noteStore(false)
      return 'unavailable'
    }
  }

  /** Answers a repeat: the recorded answer, or that the first run is under way or lost. */
  private async _answerAsHeld (claim: Claim, hash: string, sink: IAnswerSink): Promise<CallOutcome> {
    if (claim.hash !== hash) return this._refuse('key-conflict')
    if (claim.state === 'claimed') return this._inProgress()
    if (claim.state === 'lost' || claim.answer === undefined) return { kind: 'unknown', reason: 'answer-lost', step: STEP }
    const body = await this._recordedBody(claim.answer)
    if (body === undefined) return { kind: 'unknown', reason: 'answer-not-kept', step: STEP }
    sink.begin(claim.answer.status, { ...recordedHeaders(claim.answer), 'idempotency-replayed': 'true' })
    if (body.byteLength > 0) sink.write(body)
    sink.end()
    return { kind: 'answered', status: claim.answer.status }
  }

  private async _recordedBody (answer: RecordedAnswer): Promise<Buffer | undefined> {
    if (!answer.isKept) return undefined
    if (answer.object === undefined) return Buffer.from(answer.body ?? '', 'base64')
    const object = await this._options.objects.get(answer.object as ObjectKey).catch(() => undefined)
    return object === undefined ? undefined : Buffer.from(object.content)
  }

  /** Logs the beginning and the end of an outage once. */
  private _noteStore (isUp: boolean): void {
    if (this._isStoreDown !== isUp) return
    this._isStoreDown = !isUp
    this._options.log.log(isUp ? CLAIM_STORE_RECOVERED : CLAIM_STORE_UNAVAILABLE, { step: STEP, peer: 'table service' })
  }

  private _inProgress (): CallOutcome {
    return { kind: 'unknown', reason: 'in-progress', step: STEP }
  }

  private _refuse (reason: NotRunReason): CallOutcome {
    return { kind: 'not-run', reason, step: STEP }
  }
}
