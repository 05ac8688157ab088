/** Settles claims after the caller has received its response: records responses, and voids claims whose request was never run. */
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import type { IObjectStore, ITableService } from '../platform/Services.js'
import type { IRowReference } from '../platform/Types.js'
import { responseObjectKey, decodeClaim, encodeClaim, type Claim, type RecordedResponse } from './ClaimRow.js'
import { CLAIM_WORK_DROPPED } from './Events.js'
import type { GroupCommit } from './GroupCommit.js'
import { endToEndHeaders } from './HeaderRules.js'
import type { ICapturedResponse } from './RecordingSink.js'

/** Dependencies and limits of `ClaimFinisher`. */
export interface IClaimFinisherOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly table: ITableService
  readonly objects: IObjectStore
  readonly commits: GroupCommit
  /** Maximum number of claims waiting to be settled. */
  readonly capacity: number
  /** Bodies up to this size are stored in the row, larger ones in the object store. */
  readonly inlineBytes: number
}

/** Initial and maximum delay of the exponential backoff between two attempts. */
const INITIAL_RETRY_DELAY_MS = 100
const MAXIMUM_RETRY_DELAY_MS = 10_000

/** A claim of an attempt of this node, with the reference of its row. */
export interface IOwnedClaim {
  readonly reference: IRowReference
  readonly claim: Claim
}

/** Retries each task until the store has accepted its write. */
export class ClaimFinisher {
  private readonly _options: IClaimFinisherOptions
  private _pendingTasks = 0
  private _isStopped = false

  constructor (options: IClaimFinisherOptions) {
    this._options = options
  }

  /** Number of claims waiting to be settled. */
  public get pending (): number {
    return this._pendingTasks
  }

  /** Records the response. Retrying the write is safe, because only the owner of the token writes a claimed row. */
  public record (owned: IOwnedClaim, response: ICapturedResponse): void {
    this._startTask(async () => {
      const claim: Claim = { ...owned.claim, state: 'answered', answer: await this._storeResponse(owned.claim.token, response) }
      await this._options.commits.submit({ ...owned.reference, expected: 'present', value: encodeClaim(claim) })
      return true
    })
  }

  /** Records that the request ran and its response is lost. */
  public recordLost (owned: IOwnedClaim): void {
    this._startTask(async () => {
      await this._options.commits.submit({ ...owned.reference, expected: 'present', value: encodeClaim({ ...owned.claim, state: 'lost' }) })
      return true
    })
  }

  /** Voids a claim whose request was never run, whether its write took effect, failed, or may still take effect. */
  public voidClaim (owned: IOwnedClaim): void {
    this._startTask(() => this._tryVoid(owned))
  }

  /** Stops all retries; claims that are still pending keep their current state in the store. */
  public stop (): void {
    this._isStopped = true
  }

  /**
   * Makes one attempt to void the claim; true once it needs no further attempt. A write of the claim that is still in flight fails
   * after the row has been written here, because its condition no longer holds.
   */
  private async _tryVoid (owned: IOwnedClaim): Promise<boolean> {
    const { table, commits } = this._options
    const value = encodeClaim({ ...owned.claim, state: 'voided' })
    const row = await table.read(owned.reference)
    if (row === undefined) return await commits.submit({ ...owned.reference, expected: 'absent', value })
    const current = decodeClaim(row)
    const isOwnClaim = current.token === owned.claim.token && current.state === 'claimed'
    if (!isOwnClaim && current.state !== 'voided') return true
    return await commits.submit({ ...owned.reference, expected: row.revision, value })
  }

  private async _storeResponse (token: string, response: ICapturedResponse): Promise<RecordedResponse> {
    const headers = endToEndHeaders(response.headers) as RecordedResponse['headers']
    const { status, body } = response
    if (body === undefined) return { status, headers, isKept: false }
    if (body.byteLength <= this._options.inlineBytes) return { status, headers, body: body.toString('base64'), isKept: true }
    const object = responseObjectKey(token)
    await this._options.objects.put(object, body, 'any')
    return { status, headers, object, isKept: true }
  }

  private _startTask (task: () => Promise<boolean>): void {
    if (this._pendingTasks >= this._options.capacity) {
      this._options.log.log(CLAIM_WORK_DROPPED, { step: 'gate.claim.finish' })
      return
    }
    this._pendingTasks++
    this._runUntilDone(task).finally(() => { this._pendingTasks-- })
  }

  private async _runUntilDone (task: () => Promise<boolean>): Promise<void> {
    let backoff = INITIAL_RETRY_DELAY_MS
    while (!this._isStopped) {
      const isDone = await task().catch(() => false)
      if (isDone) return
      await this._options.clock.sleep(backoff as Milliseconds)
      backoff = Math.min(backoff * 2, MAXIMUM_RETRY_DELAY_MS)
    }
  }
}
