/** Batches independent row writes into few transactions. */
import type { IClockService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import { OutcomeUnknownError } from '../platform/PlatformErrors.js'
import type { ITableService } from '../platform/Services.js'
import type { ICondition, IRowReference, TransactionOutcome } from '../platform/Types.js'

/** A conditional write of one row. */
export interface IRowOperation extends IRowReference {
  readonly expected: ICondition['expected']
  readonly value: string
}

/** Dependencies and limits of `GroupCommit`. */
export interface IGroupCommitOptions {
  readonly table: ITableService
  readonly clock: IClockService
  /** Maximum number of rows in one transaction. */
  readonly batch: number
  /** Timeout of a transaction, after which its outcome is unknown. */
  readonly timeout: Milliseconds
  /** Called for every transaction that is sent, with its number of rows. */
  readonly onTransaction: (rows: number) => void
}

interface IPendingOperation extends IRowOperation {
  resolve (isCommitted: boolean): void
  reject (error: unknown): void
}

/**
 * Collects operations while a transaction is in flight and sends them together in the next one. An operation whose condition does
 * not hold fails alone; the other operations are sent again without it.
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
   * was written, with `OutcomeUnknownError` if the write may have taken effect or may still take effect.
   */
  public submit (operation: IRowOperation): Promise<boolean> {
    return new Promise((resolve, reject) => {
      this._pending.push({ ...operation, resolve, reject })
      if (!this._isSending) this._sendAll().catch(reject)
    })
  }

  private async _sendAll (): Promise<void> {
    this._isSending = true
    // Operations submitted during the current event loop task join the first transaction.
    await Promise.resolve()
    while (this._pending.length > 0) await this._sendBatch(this._nextBatch())
    this._isSending = false
  }

  /** Operations for one transaction. Two operations on one row are never combined, because the conditions of both would hold. */
  private _nextBatch (): IPendingOperation[] {
    const batch: IPendingOperation[] = []
    const rows = new Set<string>()
    const deferred: IPendingOperation[] = []
    for (const operation of this._pending) {
      const row = JSON.stringify([operation.table, operation.key])
      if (batch.length >= this._options.batch || rows.has(row)) {
        deferred.push(operation)
      } else {
        rows.add(row)
        batch.push(operation)
      }
    }
    this._pending.splice(0, this._pending.length, ...deferred)
    return batch
  }

  private async _sendBatch (batch: IPendingOperation[]): Promise<void> {
    let remaining = batch
    while (remaining.length > 0) {
      const outcome = await this._transact(remaining).catch((error: unknown) => {
        for (const operation of remaining) operation.reject(error)
      })
      if (outcome === undefined) return
      if (outcome.isCommitted) {
        for (const operation of remaining) operation.resolve(true)
        return
      }
      const failed = remaining.find((operation) => operation.table === outcome.failed.table && operation.key === outcome.failed.key)
      failed?.resolve(false)
      remaining = remaining.filter((operation) => operation !== failed)
    }
  }

  private _transact (operations: readonly IPendingOperation[]): Promise<TransactionOutcome> {
    const { table, clock, timeout, onTransaction } = this._options
    onTransaction(operations.length)
    return new Promise((resolve, reject) => {
      const timer = clock.after(timeout, () => { reject(new OutcomeUnknownError('transaction timed out', { step: 'gate.claim.commit', peer: 'table service' })) })
      table.transact({
        conditions: operations.map(({ table: name, key, expected }) => ({ table: name, key, expected })),
        writes: operations.map(({ table: name, key, value }) => ({ table: name, key, value }))
      }).then(resolve, reject).finally(() => timer.dispose())
    })
  }
}
