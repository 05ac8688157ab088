/** Keeps this node's row in the table of nodes. */
import { drawUpperHalf } from '../../common/Jitter.js'
import type { IClockService, ILogService, IRandomService, IService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress } from '../../common/Types.js'
import type { ITableService } from '../../platform/Services.js'
import type { IChangedRow, IRowReference, RowKey, RowRevision, StorePosition } from '../../platform/Types.js'
import { NODE_ROW_IGNORED, REGISTRATION_FAILED, REGISTRATION_STORED } from '../Events.js'
import type { ILocalEndpoint, INodeIdentity, INodeTable, IRegistrationService } from '../Services.js'
import type { INodeRow } from '../Types.js'
import { decodeNodeRow, encodeNodeRow } from '../view/NodeRowCodec.js'
import { NODE_TABLE } from '../view/ViewService.js'

/** What the registration needs. */
export interface IRegistrationServiceOptions {
  readonly self: INodeIdentity
  readonly gateAddress: NetworkAddress
  readonly peerAddress: NetworkAddress
  readonly endpoint: ILocalEndpoint
  readonly nodes: INodeTable
  readonly table: ITableService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  /** Wait for the first report of the endpoint, so that node and endpoint are written in one call. */
  readonly firstReportWait: Milliseconds
}

const SHORTEST_BACKOFF_MS = 150
const LONGEST_BACKOFF_MS = 1_500

/**
 * One task writes the row whenever it differs from what the store holds. Every write names the revision that it
 * replaces, so that a write that is performed late, after its answer was lost, changes nothing. One of an earlier process of
 * this node may still take effect: the leaving that it tells of is taken over, the rest is written anew.
 */
export class RegistrationService implements IRegistrationService, IService {
  private readonly _reference: IRowReference
  private _revision: RowRevision | undefined
  /** Of the last change of the row that is known. */
  private _position = 0 as StorePosition
  private _stored = ''
  private _isLeaving = false
  private _isWithdrawn = false
  private _isStarted = false
  private _isStopped = false
  private _isWriting = false
  private _failures = 0
  private _waiters: Array<() => void> = []
  private readonly _listeners: readonly IDisposable[]

  constructor (private readonly _options: IRegistrationServiceOptions) {
    this._reference = { table: NODE_TABLE, key: _options.self.name as string as RowKey }
    this._listeners = [
      _options.endpoint.onChanged(() => this._wake()),
      _options.nodes.onChanged(({ rows }) => { for (const row of rows) this._observe(row) })
    ]
  }

  /** Takes the row as an earlier process of this node left it; undefined if there is none. */
  public begin (row: { readonly revision: RowRevision, readonly value: string } | undefined): void {
    this._revision = row?.revision
    this._stored = row?.value ?? ''
    this._position = positionOf(row?.revision)
    this._isStarted = true
    const wait = this._options.endpoint.record === undefined ? this._options.firstReportWait : 0 as Milliseconds
    this._options.clock.after(wait, () => this._wake(true))
  }

  public stop (): void {
    this._isStopped = true
    for (const listener of this._listeners) listener.dispose()
    this._release()
  }

  public async settle (limit: Milliseconds): Promise<boolean> {
    if (this._stored === this._wanted()) return true
    await new Promise<void>((resolve) => {
      const timer = this._options.clock.after(limit, resolve)
      this._waiters.push(() => {
        timer.dispose()
        resolve()
      })
    })
    return this._stored === this._wanted()
  }

  /** Marks the node as leaving; a node whose endpoint has ended takes its row away. */
  public async leave (): Promise<void> {
    this._isLeaving = true
    const { record } = this._options.endpoint
    this._isWithdrawn = record === undefined || record.phase !== 'serving'
    this._wake(true)
  }

  /** Text that the store should hold; empty for no row. */
  private _wanted (): string {
    if (this._isWithdrawn) return ''
    const { self, gateAddress, peerAddress, endpoint } = this._options
    const row: INodeRow = {
      node: self.name,
      failureDomain: self.failureDomain,
      region: self.region,
      gateAddress,
      peerAddress,
      isLeaving: this._isLeaving,
      endpoint: endpoint.record?.phase === 'silent' ? undefined : endpoint.record
    }
    return encodeNodeRow(row)
  }

  private _wake (mayBeWithoutEndpoint = false): void {
    if (!this._isStarted || this._isWriting || this._isStopped) return
    if (this._options.endpoint.record === undefined && !mayBeWithoutEndpoint) return
    this._isWriting = true
    this._write().catch((error: unknown) => {
      this._isWriting = false
      this._noteFailure(error)
    })
  }

  private async _write (): Promise<void> {
    while (!this._isStopped && this._stored !== this._wanted()) {
      try {
        await this._writeOnce(this._wanted())
      } catch (error) {
        this._noteFailure(error)
        await this._options.clock.sleep(this._backoff())
      }
    }
    // Before anyone who waited goes on, so that the next change wakes the task again.
    this._isWriting = false
    this._release()
  }

  private async _writeOnce (text: string): Promise<void> {
    const { table, log } = this._options
    const expected = this._revision ?? 'absent'
    const write = { ...this._reference, value: text === '' ? undefined : text }
    const outcome = await table.transact({ conditions: [{ ...this._reference, expected }], writes: [write] })
    if (!outcome.isCommitted) return await this._readBack()
    this._stored = text
    this._revision = text === '' ? undefined : outcome.revision
    this._position = positionOf(outcome.revision)
    this._failures = 0
    const { record } = this._options.endpoint
    log.log(REGISTRATION_STORED, {
      step: 'registration.write', endpoint: record?.id, phase: record?.phase, isLeaving: this._isLeaving, revision: outcome.revision
    })
  }

  /** The row is not what this process thought, most often by a write whose answer was lost. */
  private async _readBack (): Promise<void> {
    const row = await this._options.table.read(this._reference)
    if (row === undefined) this._take({ value: undefined, position: this._position })
    else this._take({ value: row.value, position: positionOf(row.revision) })
  }

  /** A change of the row that this process may not have made. */
  private _observe (row: IChangedRow): void {
    if (!this._isStarted || row.key !== this._reference.key || row.position <= this._position) return
    this._take(row)
    this._wake()
  }

  private _take ({ value, position }: Pick<IChangedRow, 'value' | 'position'>): void {
    this._revision = value === undefined ? undefined : String(position) as RowRevision
    this._position = position
    this._stored = value ?? ''
    if (value !== undefined) this._adoptEndpoint(value)
  }

  private _adoptEndpoint (value: string): void {
    const { endpoint, clock, log } = this._options
    try {
      const record = decodeNodeRow(value).endpoint
      if (record !== undefined) endpoint.adopt(record, clock.now())
    } catch (error) {
      log.log(NODE_ROW_IGNORED, { step: 'registration.decode', peer: this._reference.key, reason: String(error) })
    }
  }

  private _noteFailure (error: unknown): void {
    this._failures++
    if (this._failures > 1) return
    this._options.log.log(REGISTRATION_FAILED, { step: 'registration.write', peer: 'store', reason: String(error) })
  }

  private _backoff (): Milliseconds {
    const bound = Math.min(LONGEST_BACKOFF_MS, SHORTEST_BACKOFF_MS * 2 ** Math.min(this._failures, 4))
    return drawUpperHalf(bound, this._options.random)
  }

  private _release (): void {
    const waiters = this._waiters
    this._waiters = []
    for (const waiter of waiters) waiter()
  }
}

/** Revisions of rows are the positions of their last changes. */
function positionOf (revision: RowRevision | undefined): StorePosition {
  return Number(revision ?? 0) as StorePosition
}
