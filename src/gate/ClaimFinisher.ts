/** Settles claims after the caller has had its answer: records answers and voids claims that were never run. */
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRowReference } from '../platform/Types.js'
import { answerObjectKey, decodeClaim, encodeClaim, type Claim, type RecordedAnswer } from './ClaimRow.js'
import { CLAIM_WORK_DROPPED } from './Events.js'
import type { GroupCommit } from './GroupCommit.js'
import { endToEndHeaders } from './HeaderRules.js'
import type { IKeptAnswer } from './RecordingSink.js'

/** What the finisher needs. */
export interface IClaimFinisherOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly commits: GroupCommit
  /** Most claims that wait to be settled. */
  readonly capacity: number
  /** Bodies up to this size are kept in the row, larger ones in the object store. */
  readonly inlineBytes: number
}

/** Base of the backoff between two tries, and its bound. */
const RETRY_BASE_MS = 100
const RETRY_LIMIT_MS = 10_000

/** A claim as its holder knows it. */
export interface IHeldClaim {
  readonly reference: IRowReference
  readonly claim: Claim
}

/** Tries each task until the store has taken it. */
export class ClaimFinisher {
  private readonly _options: IClaimFinisherOptions
  private _tasks = 0
  private _isStopped = false

  constructor (options: IClaimFinisherOptions) {
    this._options = options
  }

  /** Claims that wait to be settled. */
  public get pending (): number {
    return this._tasks
  }

  /** Records the answer. Only the holder of the token writes a claimed row, so repeating the write does no harm. */
  public record (held: IHeldClaim, answer: IKeptAnswer): void {
    this._start(async () => {
      const claim: Claim = { ...held.claim, state: 'answered', answer: await this._store(held.claim.token, answer) }
      await this._options.commits.submit({ ...held.reference, expected: 'present', value: encodeClaim(claim) })
      return true
    })
  }

  /** Records that the request ran and its answer is lost. */
  public recordLost (held: IHeldClaim): void {
    this._start(async () => {
      await this._options.commits.submit({ ...held.reference, expected: 'present', value: encodeClaim({ ...held.claim, state: 'lost' }) })
      return true
    })
  }

  /** Voids a claim that was never run, whether its write took effect, did not, or still may. */
  public void (held: IHeldClaim): void {
    this._start(() => this._voidOnce(held))
  }

  /** No further tries; what is still pending stays as it is in the store. */
  public stop (): void {
    this._isStopped = true
  }

  /**
   * A write of the claim that is still on its way fails on the row written here, because
   * its condition no longer holds.
   */
  private async _voidOnce (held: IHeldClaim): Promise<boolean> {
    const { table, commits } = this._options
    const value = encodeClaim({ ...held.claim, state: 'voided' })
    const row = await table.read(held.reference)
    if (row === undefined) return await commits.submit({ ...held.reference, expected: 'absent', value })
    const present = decodeClaim(row)
    const isOwn = present.token === held.claim.token && present.state === 'claimed'
    if (!isOwn && present.state !== 'voided') return true
    return await commits.submit({ ...held.reference, expected: row.revision, value })
  }

  private async _store (token: string, answer: IKeptAnswer): Promise<RecordedAnswer> {
    const headers = endToEndHeaders(answer.headers) as RecordedAnswer['headers']
    const { status, body } = answer
    if (body === undefined) return { status, headers, isKept: false }
    if (body.byteLength <= this._options.inlineBytes) return { status, headers, body: body.toString('base64'), isKept: true }
    const object = answerObjectKey(token)
    await this._options.objects.put(object, body, 'any')
    return { status, headers, object, isKept: true }
  }

  private _start (task: () => Promise<boolean>): void {
    if (this._tasks >= this._options.capacity) {
      this._options.log.log(CLAIM_WORK_DROPPED, { step: 'gate.claim.finish' })
      return
    }
    this._tasks++
    this._repeat(task).finally(() => { this._tasks-- })
  }

  private async _repeat (task: () => Promise<boolean>): Promise<void> {
    let backoff = RETRY_BASE_MS
    while (!this._isStopped) {
      const isDone = await task().catch(() => false)
      if (isDone) return
      await this._options.clock.sleep(backoff as Milliseconds)
      backoff = Math.min(backoff * 2, RETRY_LIMIT_MS)
    }
  }
}
