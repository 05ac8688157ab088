/** Keeps the row of this node in the node table of the store up to date. */
import { drawEqualJitter } from '../../common/Jitter.js'
import type { IClockService, ILogService, IRandomService, IService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress } from '../../common/Types.js'
import type { ITableService } from '../../platform/Services.js'
import type { IChangedRow, IRowReference, RowKey, RowRevision, StorePosition } from '../../platform/Types.js'
import type { CrashRegistry } from '../crashes/CrashRegistry.js'
import { NODE_ADDRESS_CLAIMED, NODE_ROW_IGNORED, REGISTRATION_FAILED, REGISTRATION_STORED } from '../Events.js'
import type { ILocalEndpoint, INodeIdentity, INodeTable, IRegistrationService } from '../Services.js'
import type { INodeRow, NodeName } from '../Types.js'
import { decodeNodeRow, encodeNodeRow } from '../view/NodeRowCodec.js'
import { NODE_TABLE } from '../view/ViewService.js'

/** Dependencies and identity of the registration. */
export interface IRegistrationServiceOptions {
  readonly self: INodeIdentity
  readonly gateAddress: NetworkAddress
  readonly peerAddress: NetworkAddress
  readonly endpoint: ILocalEndpoint
  readonly nodes: INodeTable
  /** Crashes of the endpoint, which are published in the row. */
  readonly crashes: CrashRegistry
  readonly table: ITableService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  /** Maximum wait for the first report of the endpoint before the first write, so that one call stores both node and endpoint. */
  readonly firstReportWait: Milliseconds
}

const MINIMUM_BACKOFF_MS = 150
const MAXIMUM_BACKOFF_MS = 1_500
/** Delay before the own row is written again; limits the writes if another writer claims the address repeatedly. */
const RECLAIM_DELAY_MS = 500 as Milliseconds

/**
 * A single task writes the row whenever the desired row differs from the stored one. Each write is conditional on the revision
 * that it replaces, so that a write which the store performs late, after its response was lost, has no effect. A late write of an
 * earlier process of this node may still take effect: the drain or deregistration of the endpoint that it contains is adopted,
 * everything else is overwritten.
 */
export class RegistrationService implements IRegistrationService, IService {
  private readonly _reference: IRowReference
  private _revision: RowRevision | undefined
  /** Store position of the last known change of the row. */
  private _rowPosition = 0 as StorePosition
  private _storedText = ''
  private _isLeaving = false
  private _shouldRemoveRow = false
  private _isStarted = false
  private _isStopped = false
  private _isWriting = false
  private _failures = 0
  private _waiters: Array<() => void> = []
  private _reclaimTimer: IDisposable | undefined
  private readonly _listeners: readonly IDisposable[]

  constructor (private readonly _options: IRegistrationServiceOptions) {
    this._reference = { table: NODE_TABLE, key: _options.self.name as string as RowKey }
    this._listeners = [
      _options.endpoint.onChanged(() => this._requestWrite()),
      _options.crashes.onReportChanged(() => this._requestWrite()),
      _options.nodes.onChanged(({ rows }) => { for (const row of rows) this._observe(row) })
    ]
  }

  /** Starts writing, from the row that an earlier process of this node stored; undefined if there is none. */
  public startWriting (row: { readonly revision: RowRevision, readonly value: string } | undefined): void {
    this._revision = row?.revision
    this._storedText = this._isAddressClaimed ? '' : row?.value ?? ''
    this._rowPosition = positionOf(row?.revision)
    this._isStarted = true
    const wait = this._options.endpoint.record === undefined ? this._options.firstReportWait : 0 as Milliseconds
    this._options.clock.after(wait, () => this._requestWrite(true))
  }

  public stop (): void {
    this._isStopped = true
    this._reclaimTimer?.dispose()
    for (const listener of this._listeners) listener.dispose()
    this._resolveWaiters()
  }

  public async waitUntilStored (limit: Milliseconds): Promise<boolean> {
    if (this._storedText === this._desiredText()) return true
    await new Promise<void>((resolve) => {
      const timer = this._options.clock.after(limit, resolve)
      this._waiters.push(() => {
        timer.dispose()
        resolve()
      })
    })
    return this._storedText === this._desiredText()
  }

  /**
   * Marks the row as that of a node that shuts down (`isLeaving`), or removes the row if the endpoint is not serving. A row that
   * reports crashes stays, for nodes that start later.
   */
  public async markLeaving (): Promise<void> {
    this._isLeaving = true
    const { endpoint, crashes } = this._options
    this._shouldRemoveRow = endpoint.record?.phase !== 'serving' && crashes.report === undefined
    this._requestWrite(true)
  }

  /** True if a later row with another name has the address of this node. */
  private get _isAddressClaimed (): boolean {
    const { nodes, self } = this._options
    return nodes.node(self.name) !== undefined && !nodes.nodes.has(self.name)
  }

  /** Text that should be stored; empty if the row should not exist. */
  private _desiredText (): string {
    if (this._shouldRemoveRow) return ''
    const { self, gateAddress, peerAddress, endpoint, crashes } = this._options
    const row: INodeRow = {
      node: self.name,
      failureDomain: self.failureDomain,
      region: self.region,
      gateAddress,
      peerAddress,
      isLeaving: this._isLeaving,
      endpoint: endpoint.record?.phase === 'silent' ? undefined : endpoint.record,
      crashReport: crashes.report
    }
    return encodeNodeRow(row)
  }

  private _requestWrite (canOmitEndpoint = false): void {
    if (!this._isStarted || this._isWriting || this._isStopped) return
    if (this._options.endpoint.record === undefined && !canOmitEndpoint) return
    this._isWriting = true
    this._writeUntilStored().catch((error: unknown) => {
      this._isWriting = false
      this._recordFailure(error)
    })
  }

  private async _writeUntilStored (): Promise<void> {
    while (!this._isStopped && this._storedText !== this._desiredText()) {
      try {
        await this._writeOnce(this._desiredText())
      } catch (error) {
        this._recordFailure(error)
        await this._options.clock.sleep(this._backoff())
      }
    }
    // Cleared before the waiters resume, so that the next change starts the task again.
    this._isWriting = false
    this._resolveWaiters()
  }

  private async _writeOnce (text: string): Promise<void> {
    const { table, log } = this._options
    const expected = this._revision ?? 'absent'
    const write = { ...this._reference, value: text === '' ? undefined : text }
    const outcome = await table.transact({ conditions: [{ ...this._reference, expected }], writes: [write] })
    if (!outcome.isCommitted) return await this._readBack()
    this._storedText = text
    this._revision = text === '' ? undefined : outcome.revision
    this._rowPosition = positionOf(outcome.revision)
    this._failures = 0
    const { record } = this._options.endpoint
    log.log(REGISTRATION_STORED, {
      step: 'registration.write', endpoint: record?.id, phase: record?.phase, isLeaving: this._isLeaving, revision: outcome.revision
    })
  }

  /** Reads the row again after a failed condition, which most often follows a write whose response was lost. */
  private async _readBack (): Promise<void> {
    const row = await this._options.table.read(this._reference)
    if (row === undefined) this._applyRow({ value: undefined, position: this._rowPosition })
    else this._applyRow({ value: row.value, position: positionOf(row.revision) })
  }

  /** Handles a change of a row, possibly by another process. */
  private _observe (row: IChangedRow): void {
    if (!this._isStarted) return
    if (row.key !== this._reference.key) return this._reclaimAddress(row)
    if (row.position <= this._rowPosition) return
    this._applyRow(row)
    this._requestWrite()
  }

  /** Writes the own row again after another row has claimed the address of this node, since the latest row owns an address. */
  private _reclaimAddress ({ key, position }: IChangedRow): void {
    const { nodes, gateAddress, clock, log } = this._options
    if (position < this._rowPosition || nodes.node(key as string as NodeName)?.gateAddress !== gateAddress) return
    if (this._reclaimTimer !== undefined || this._storedText === '') return
    log.log(NODE_ADDRESS_CLAIMED, { step: 'registration.observe', peer: key, address: gateAddress })
    this._reclaimTimer = clock.after(RECLAIM_DELAY_MS, () => {
      this._reclaimTimer = undefined
      this._storedText = ''
      this._requestWrite()
    })
  }

  private _applyRow ({ value, position }: Pick<IChangedRow, 'value' | 'position'>): void {
    this._revision = value === undefined ? undefined : String(position) as RowRevision
    this._rowPosition = position
    this._storedText = value ?? ''
    if (value !== undefined) this._adopt(value)
  }

  private _adopt (value: string): void {
    const { endpoint, crashes, clock, log } = this._options
    try {
      const { row } = decodeNodeRow(value, this._options.self.name)
      // A row with a foreign endpoint is from another writer, and so are its crashes.
      if (row.endpoint !== undefined && !endpoint.restore(row.endpoint, clock.now())) return
      if (row.crashReport !== undefined) crashes.restore(row.crashReport, clock.now())
    } catch (error) {
      log.log(NODE_ROW_IGNORED, { step: 'registration.decode', peer: this._reference.key, reason: String(error) })
    }
  }

  private _recordFailure (error: unknown): void {
    this._failures++
    if (this._failures > 1) return
    this._options.log.log(REGISTRATION_FAILED, { step: 'registration.write', peer: 'store', reason: String(error) })
  }

  private _backoff (): Milliseconds {
    const bound = Math.min(MAXIMUM_BACKOFF_MS, MINIMUM_BACKOFF_MS * 2 ** Math.min(this._failures, 4))
    return drawEqualJitter(bound, this._options.random)
  }

  private _resolveWaiters (): void {
    const waiters = this._waiters
    this._waiters = []
    for (const waiter of waiters) waiter()
  }
}

/** The revision of a row is the store position of its last change. */
function positionOf (revision: RowRevision | undefined): StorePosition {
  return Number(revision ?? 0) as StorePosition
}
