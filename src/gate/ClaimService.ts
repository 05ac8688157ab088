/**
 * Runs at-most-once requests. A claim is a row in the table service that reserves an idempotency key for one run and later records
 * its response.
 */
import { randomBytes } from 'node:crypto'
import { Disposable } from '../common/Disposable.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import { PlatformUnavailableError } from '../platform/PlatformErrors.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRow, ObjectKey } from '../platform/Types.js'
import { ClaimFinisher, type IOwnedClaim } from './ClaimFinisher.js'
import { claimHash, claimReference, decodeClaim, encodeClaim, recordedHeaders, type Claim, type RecordedResponse } from './ClaimRow.js'
import { CLAIM_STORE_RECOVERED, CLAIM_STORE_UNAVAILABLE } from './Events.js'
import type { GateMetrics } from './GateMetrics.js'
import { GroupCommit } from './GroupCommit.js'
import { readBodyStartByDeadline } from './BodyStart.js'
import { RecordingSink } from './RecordingSink.js'
import type { IClaimService } from './Services.js'
import type { CallOutcome, IAnswerSink, ICall, NotRunReason } from './Types.js'

/** Settings of the claims. */
export interface IClaimSettings {
  /** Maximum time until a claim is decided. */
  readonly timeout: Milliseconds
  /** Maximum number of claims written in one transaction. */
  readonly batch: number
  /** Maximum number of claims in progress at the same time. */
  readonly capacity: number
  /** Largest request body of an at-most-once request. */
  readonly requestBytes: number
  /** Largest response body that is recorded. */
  readonly recordBytes: number
  /** Recorded bodies up to this size are stored in the row. */
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

/** Dependencies and settings of `ClaimService`. */
export interface IClaimServiceOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: GateMetrics
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly node: NodeId
  readonly settings?: Partial<IClaimSettings>
}

/** Result of an attempt to claim a key. */
type ClaimDecision =
  | { readonly kind: 'won' }
  /** The key is already claimed by another attempt. */
  | { readonly kind: 'held', readonly claim: Claim }
  /** The store did not respond. `isWritten`: a write of the claim may have taken effect. */
  | { readonly kind: 'undecided', readonly isWritten: boolean }

/** Runs the request; called only for the attempt that won the claim. */
export type RunClaimed = (content: Buffer | undefined, sink: IAnswerSink) => Promise<CallOutcome>

/** Delay between two attempts to write a claim. */
const RETRY_DELAY_MS = 20 as Milliseconds
const TOKEN_BYTES = 16
const STEP = 'gate.claim'

/** An attempt to claim a key; abandoned when its time limit expires. */
interface IAttempt extends IOwnedClaim {
  isAbandoned: boolean
  /** True if a write of the claim may have taken effect. */
  isWritten: boolean
}

/** Claims keys, runs requests, records their responses and replays them. */
export class ClaimService extends Disposable implements IClaimService {
  private readonly _options: IClaimServiceOptions
  private readonly _settings: IClaimSettings
  private readonly _commits: GroupCommit
  private readonly _finisher: ClaimFinisher
  /** Hash of the request in progress at this gate, by row key of its claim. */
  private readonly _activeHashes = new Map<string, string>()
  /** Calls that won their claim and have not yet sent their first byte. */
  private readonly _startPermits = new Set<ICall>()
  private _isStoreUnavailable = false

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
    return this._activeHashes.size + this._finisher.pending
  }

  /** Waits a bounded time for claims to be settled, so that retries receive the recorded response after this node has stopped. */
  public async stop (): Promise<void> {
    const { clock } = this._options
    const stopAt = clock.now() + this._settings.timeout
    while (this.pending > 0 && clock.now() < stopAt) await clock.sleep(RETRY_DELAY_MS)
    this.dispose()
  }

  public override dispose (): void {
    super.dispose()
    this._finisher.stop()
  }

  /** Runs `call` if its key was never run; otherwise responds with the outcome of the earlier run. Never rejects. */
  public async execute (call: ICall, sink: IAnswerSink, run: RunClaimed): Promise<CallOutcome> {
    if (call.idempotencyKey === undefined) return this._refuse('key-missing')
    const reference = claimReference(call)
    if (reference === undefined) return this._refuse('malformed')
    if (this._activeHashes.size >= this._settings.capacity) return this._refuse('overloaded')
    const content = await this._read(call)
    if (typeof content === 'string') return this._refuse(content)
    const hash = claimHash(call, content)
    const activeHash = this._activeHashes.get(reference.key)
    if (activeHash !== undefined) return activeHash === hash ? this._inProgress() : this._refuse('key-conflict')
    this._activeHashes.set(reference.key, hash)
    try {
      const token = randomBytes(TOKEN_BYTES).toString('base64url')
      const claim: Claim = { state: 'claimed', token, hash, node: this._options.node, at: this._options.clock.now() }
      return await this._claimAndRun(call, { reference, claim, isAbandoned: false, isWritten: false }, content, sink, run)
    } finally {
      this._activeHashes.delete(reference.key)
    }
  }

  /** Returns true once for each call that won its claim, which permits it to send its first byte. */
  public consumeStartPermit (call: ICall): boolean {
    return this._startPermits.delete(call)
  }

  private async _claimAndRun (
    call: ICall, attempt: IAttempt, content: Buffer | undefined, sink: IAnswerSink, run: RunClaimed
  ): Promise<CallOutcome> {
    const decision = await this._decideWithTimeout(attempt, call.deadlineAt)
    this._options.metrics.claims.inc({ result: decision.kind })
    if (decision.kind === 'held') return await this._respondFromClaim(decision.claim, attempt.claim.hash, sink)
    if (decision.kind === 'undecided') {
      if (decision.isWritten) this._finisher.voidClaim(attempt)
      return this._refuse('store-unavailable')
    }
    const recorder = new RecordingSink(sink, this._settings.recordBytes)
    this._startPermits.add(call)
    const outcome = await run(content, recorder)
    this._startPermits.delete(call)
    if (outcome.kind === 'answered') this._finisher.record(attempt, recorder.response)
    else if (outcome.kind === 'unknown') this._finisher.recordLost(attempt)
    else this._finisher.voidClaim(attempt)
    return outcome
  }

  /** The complete body, undefined if there is none, or the reason why it cannot be read. */
  private async _read (call: ICall): Promise<Buffer | undefined | NotRunReason> {
    const limit = this._settings.requestBytes
    if (call.bodyContent !== undefined) return call.bodyContent.byteLength > limit ? 'too-large' : call.bodyContent
    if (call.body === undefined) return undefined
    if ((call.bodyBytes ?? 0) > limit) return 'too-large'
    const bodyStart = await readBodyStartByDeadline(call.body, limit, call.deadlineAt, this._options.clock)
    if (bodyStart === undefined) return 'cancelled'
    return bodyStart.isWhole ? bodyStart.content : 'too-large'
  }

  /** Decides the claim. When the time limit expires, the attempt is abandoned and the request is never started. */
  private _decideWithTimeout (attempt: IAttempt, deadlineAt: Timestamp): Promise<ClaimDecision> {
    const { clock } = this._options
    const timeLimit = Math.min(this._settings.timeout, deadlineAt - clock.now()) as Milliseconds
    return new Promise((resolve) => {
      const timer = clock.after(timeLimit, () => {
        attempt.isAbandoned = true
        this._recordStoreAvailability(false)
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

  private async _decide (attempt: IAttempt): Promise<ClaimDecision> {
    let expected: 'absent' | IRow['revision'] = 'absent'
    while (!attempt.isAbandoned) {
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

  /** True if the claim was written, false if its condition did not hold, undefined if the outcome is unknown. */
  private async _insert (attempt: IAttempt, expected: 'absent' | IRow['revision']): Promise<boolean | undefined> {
    try {
      const isCommitted = await this._commits.submit({ ...attempt.reference, expected, value: encodeClaim(attempt.claim) })
      this._recordStoreAvailability(true)
      return isCommitted
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) attempt.isWritten = true
      return undefined
    }
  }

  private async _readRow (attempt: IAttempt): Promise<IRow | undefined | 'unavailable'> {
    try {
      const row = await this._options.table.read(attempt.reference)
      this._recordStoreAvailability(true)
      return row
    } catch {
      this._recordStoreAvailability(false)
      return 'unavailable'
    }
  }

  /** Responds to a retry: with the recorded response, or that the first run is in progress or its response was lost. */
  private async _respondFromClaim (claim: Claim, hash: string, sink: IAnswerSink): Promise<CallOutcome> {
    if (claim.hash !== hash) return this._refuse('key-conflict')
    if (claim.state === 'claimed') return this._inProgress()
    if (claim.state === 'lost' || claim.answer === undefined) return { kind: 'unknown', reason: 'answer-lost', step: STEP }
    const body = await this._readRecordedBody(claim.answer)
    if (body === undefined) return { kind: 'unknown', reason: 'answer-not-kept', step: STEP }
    sink.begin(claim.answer.status, { ...recordedHeaders(claim.answer), 'idempotency-replayed': 'true' })
    if (body.byteLength > 0) sink.write(body)
    sink.end()
    return { kind: 'answered', status: claim.answer.status }
  }

  private async _readRecordedBody (response: RecordedResponse): Promise<Buffer | undefined> {
    if (!response.isKept) return undefined
    if (response.object === undefined) return Buffer.from(response.body ?? '', 'base64')
    const object = await this._options.objects.get(response.object as ObjectKey).catch(() => undefined)
    return object === undefined ? undefined : Buffer.from(object.content)
  }

  /** Logs the start and the end of an outage once each. */
  private _recordStoreAvailability (isAvailable: boolean): void {
    if (this._isStoreUnavailable !== isAvailable) return
    this._isStoreUnavailable = !isAvailable
    this._options.log.log(isAvailable ? CLAIM_STORE_RECOVERED : CLAIM_STORE_UNAVAILABLE, { step: STEP, peer: 'table service' })
  }

  private _inProgress (): CallOutcome {
    return { kind: 'unknown', reason: 'in-progress', step: STEP }
  }

  private _refuse (reason: NotRunReason): CallOutcome {
    return { kind: 'not-run', reason, step: STEP }
  }
}
