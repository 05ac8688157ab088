/** Writes many independent rows in few transactions. */
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import { OutcomeUnknownError } from '../platform/PlatformErrors.js'
import type { ITableService } from '../platform/Services.js'
import type { ICondition, IRowReference, TransactionOutcome } from '../platform/Types.js'

/** One row to be written under one condition. */
export interface IRowOperation extends IRowReference {
  readonly expected: ICondition['expected']
  readonly value: string
}

/** What the group commit needs. */
export interface IGroupCommitOptions {
  readonly table: ITableService
  readonly clock: IClockService
  /** Most rows of one transaction. */
  readonly batch: number
  /** A transaction that takes longer has an unknown outcome. */
  readonly timeout: Milliseconds
  /** Called for every transaction sent, with the number of its rows. */
  readonly onTransaction: (rows: number) => void
}

interface IPendingOperation extends IRowOperation {
  resolve (isCommitted: boolean): void
  reject (error: unknown): void
}

/**
 * Gathers operations while one transaction is under way, then sends them together. A condition that
 * does not hold fails its own operation only; the others are sent again without it.
 */
export class GroupCommit {
  private readonly _options: IGroupCommitOptions
  private readonly _pending: IPendingOperation[] = []
  private _isSending = false

  constructor (options: IGroupCommitOptions) {
    this._options = options
  }

  /**
   * Resolves with false if the condition did not hold. Rejects with `PlatformUnavailableError` if nothing
   * was written, with `OutcomeUnknownError` if the write may have taken effect or still may.
   */
  public submit (operation: IRowOperation): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this._pending.push({ ...operation, resolve, reject })
      if (!this._isSending) this._sendAll().catch(reject)
    })
  }

  private async _sendAll (): Promise<void> {
    this._isSending = true
    // Lets everything that is decided in this turn of the event loop join the first transaction.
    await Promise.resolve()
    while (this._pending.length > 0) await this._sendBatch(this._takeBatch())
    this._isSending = false
  }

  /** Operations for one transaction; two on one row never go together, for both conditions would hold. */
  private _takeBatch (): IPendingOperation[] {
    const batch: IPendingOperation[] = []
    const rows = new Set<string>()
    const later: IPendingOperation[] = []
    for (const operation of this._pending) {
      const row = JSON.stringify([operation.table, operation.key])
      if (batch.length >= this._options.batch || rows.has(row)) {
        later.push(operation)
      } else {
        rows.add(row)
        batch.push(operation)
      }
    }
    this._pending.splice(0, this._pending.length, ...later)
    return batch
  }

  private async _sendBatch (batch: IPendingOperation[]): Promise<void> {
    let rest = batch
    while (rest.length > 0) {
      const outcome = await this._transact(rest).catch((error: unknown) => {
        for (const operation of rest) operation.reject(error)
      })
      if (outcome === undefined) return
      if (outcome.isCommitted) {
        for (const operation of rest) operation.resolve(true)
        return
      }
      const failed = rest.find((operation) => operation.table === outcome.failed.table && operation.key === outcome.failed.key)
      failed?.resolve(false)
      rest = rest.filter((operation) => operation !== failed)
    }
  }

  private _transact (operations: readonly IPendingOperation[]): Promise<TransactionOutcome> {
    const { table, clock, timeout, onTransaction } = this._options
    onTransaction(operations.length)
    return new Promise((resolve, reject) => {
      const timer = clock.after(timeout, () => { reject(new OutcomeUnknownError('no answer in time', { step: 'gate.claim.commit', peer: 'table service' })) })
      table.transact({
        conditions: operations.map(({ table: name, key, expected }) => ({ table: name, key, expected })),
        writes: operations.map(({ table: name, key, value }) => ({ table: name, key, value }))
      }).then(resolve, reject).finally(() => timer.dispose())
    })
  }
}
