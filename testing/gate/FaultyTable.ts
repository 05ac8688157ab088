/** A table service that injects faults into selected transactions. */
import type { ITableService } from '../../src/platform/Services.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../src/platform/PlatformErrors.js'
import type { IRow, IRowReference, IRowScan, ITransaction, TransactionOutcome } from '../../src/platform/Types.js'

/**
 * `down`: the operation fails without effect; `lost`: the write takes effect, but its outcome is unknown to the sender; `dropped`:
 * the write has no effect and its outcome is unknown to the sender; `late`: the outcome is unknown and the write takes effect
 * afterwards; `hung`: the operation never completes.
 */
export type TableFault = 'none' | 'down' | 'lost' | 'dropped' | 'late' | 'hung'

const LATE_MS = 30

/** Wraps another table service. */
export class FaultyTable implements ITableService {
  /** Faults of the next transactions, one each; afterwards `fault` applies. */
  public script: TableFault[] = []
  /** Fault of every transaction, and for `down` and `hung` of every read. */
  public fault: TableFault = 'none'
  public latencyMs = 0
  public transactions = 0

  constructor (private readonly _inner: ITableService) {}

  public async read (reference: IRowReference): Promise<IRow | undefined> {
    await this._delay()
    if (this.fault === 'hung') return await new Promise(() => {})
    if (this.fault === 'down') throw unavailable()
    return await this._inner.read(reference)
  }

  public async scan (scan: IRowScan): Promise<readonly IRow[]> {
    await this._delay()
    if (this.fault === 'down') throw unavailable()
    return await this._inner.scan(scan)
  }

  public async transact (transaction: ITransaction): Promise<TransactionOutcome> {
    this.transactions++
    const fault = this.script.shift() ?? this.fault
    await this._delay()
    if (fault === 'hung') return await new Promise(() => {})
    if (fault === 'down') throw unavailable()
    if (fault === 'dropped') throw outcomeUnknown()
    if (fault === 'late') {
      setTimeout(() => { this._inner.transact(transaction).catch(() => {}) }, LATE_MS)
      throw outcomeUnknown()
    }
    const outcome = await this._inner.transact(transaction)
    if (fault === 'lost') throw outcomeUnknown()
    return outcome
  }

  private async _delay (): Promise<void> {
    if (this.latencyMs > 0) await new Promise((resolve) => { setTimeout(resolve, this.latencyMs) })
  }
}

function unavailable (): PlatformUnavailableError {
  return new PlatformUnavailableError('down', { step: 'platform.transact', peer: 'store' })
}

function outcomeUnknown (): OutcomeUnknownError {
  return new OutcomeUnknownError('reply lost', { step: 'platform.transact', peer: 'store' })
}
