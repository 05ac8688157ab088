/** The views of all nodes of one region in simulated time, with an in-memory store and links of limited bandwidth. */
import { ConfigurationDecoder } from '../../platform/ConfigurationDecoder.js'
import { InvariantService } from '../../src/common/InvariantService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import { RandomService } from '../../src/common/RandomService.js'
import type { FailureDomain, Milliseconds, NetworkAddress, Region, Timestamp } from '../../src/common/Types.js'
import { ConfigurationService } from '../../src/mesh/configuration/ConfigurationService.js'
import type { NodeName } from '../../src/mesh/Types.js'
import { encodeNodeRow } from '../../src/mesh/view/NodeRowCodec.js'
import { NodeTable } from '../../src/mesh/view/NodeTable.js'
import { createReaderRanking } from '../../src/mesh/view/ViewSourcePolicy.js'
import { NODE_TABLE, ViewService } from '../../src/mesh/view/ViewService.js'
import { PlatformUnavailableError } from '../../src/platform/PlatformErrors.js'
import type { IChangeFeed } from '../../src/platform/Services.js'
import type { IChangeBatch, IChangedRow, IRowReference, RowKey, StorePosition, TableName } from '../../src/platform/Types.js'
import { ManualClock } from '../ManualClock.js'
import { MemoryNetwork, type MemoryTransport } from '../membership/MemoryTransport.js'
import { RecordingLog } from '../RecordingLog.js'

/** Options of ViewRegion. */
export interface IViewRegionOptions {
  readonly seed: number
  readonly nodes: number
  /** Bandwidth of each node, separately for sending to nodes and for receiving from the store, in bytes per second. */
  readonly linkRate: number
}

/** One node of the region. */
export interface IRegionNode {
  readonly name: NodeName
  readonly view: ViewService
  readonly configuration: ConfigurationService
  readonly transport: MemoryTransport
  readonly feed: MemoryFeed
  readonly log: RecordingLog
  /** Time at which each version became active at this node. */
  readonly applied: Map<number, Timestamp>
}

const CONFIGURATION_ROW: IRowReference = { table: 'op' as TableName, key: 'config' as RowKey }
const REGION = 'r1' as Region
const DOMAIN_COUNT = 3
/** Network round trip of one call of the store. */
const STORE_ROUND_TRIP_MS = 20
/** Encoded bytes per byte of a row (base64). */
const ENCODING_FACTOR = 4 / 3
const MILLISECONDS_PER_SECOND = 1_000
const LATENCY = Object.freeze({ minimum: 0.5, maximum: 1 })

/** Rows of a store that never fails. The change feed contains every state of a row, a read of the complete table only the newest. */
class MemoryStore {
  public position = 0
  private readonly _states: Array<IChangedRow & { readonly table: TableName }> = []
  private _waiters: Array<() => void> = []

  public put (table: TableName, key: RowKey, value: string): void {
    this.position++
    this._states.push({ table, key, value, position: this.position as StorePosition })
    const waiters = this._waiters
    this._waiters = []
    for (const waiter of waiters) waiter()
  }

  public changesAfter (table: TableName, position: StorePosition): IChangedRow[] {
    return this._states.filter((row) => row.table === table && row.position > position)
  }

  public allRows (table: TableName): IChangedRow[] {
    const newest = new Map(this._states.filter((row) => row.table === table).map((row) => [row.key, row]))
    return [...newest.values()]
  }

  public onNextChange (action: () => void): void {
    this._waiters.push(action)
  }
}

/** Connection of one node to the store. */
export class MemoryFeed implements IChangeFeed {
  /** False while the node cannot reach the store. */
  public isReachable = true
  /** Network round trip of one call. */
  public roundTrip = STORE_ROUND_TRIP_MS
  public calls = 0
  private _receivingUntil = 0

  constructor (private readonly _store: MemoryStore, private readonly _clock: ManualClock, public rate: number) {}

  public async readAll (table: TableName, startTimeout: Milliseconds): Promise<IChangeBatch> {
    const startedAt = this._clock.now()
    await this._send()
    await this._awaitResponseStart(startedAt, startTimeout)
    const batch = { rows: this._store.allRows(table), position: this._store.position as StorePosition, isWhole: true }
    await this._receive(batch.rows)
    return batch
  }

  public async changesAfter (
    table: TableName, position: StorePosition, wait: Milliseconds, startTimeout: Milliseconds
  ): Promise<IChangeBatch> {
    const startedAt = this._clock.now()
    await this._send()
    const deadline = this._clock.now() + wait
    while (this._store.changesAfter(table, position).length === 0 && this._clock.now() < deadline) await this._nextChange(deadline)
    await this._awaitResponseStart(startedAt, wait + startTimeout as Milliseconds)
    const rows = this._store.changesAfter(table, position)
    const batch = { rows, position: this._store.position as StorePosition, isWhole: false }
    await this._receive(batch.rows)
    return batch
  }

  private async _send (): Promise<void> {
    this.calls++
    await this._clock.sleep(this.roundTrip / 2 as Milliseconds)
    if (!this.isReachable) throw new PlatformUnavailableError('the store is unreachable', { step: 'test' })
  }

  /** Waits for the first byte of the response; throws if it arrives after the start timeout. */
  private async _awaitResponseStart (startedAt: Timestamp, startTimeout: Milliseconds): Promise<void> {
    const remainingTime = startedAt + startTimeout - this._clock.now()
    await this._clock.sleep(Math.max(0, Math.min(remainingTime, this.roundTrip / 2)) as Milliseconds)
    if (remainingTime < this.roundTrip / 2) throw new PlatformUnavailableError('the response did not start in time', { step: 'test' })
  }

  private _nextChange (until: number): Promise<void> {
    return new Promise((resolve) => {
      this._clock.after(until - this._clock.now() as Milliseconds, resolve)
      this._store.onNextChange(resolve)
    })
  }

  private async _receive (rows: readonly IChangedRow[]): Promise<void> {
    const bytes = rows.reduce((sum, { value }) => sum + (value?.length ?? 0) * ENCODING_FACTOR, 0)
    this._receivingUntil = Math.max(this._clock.now(), this._receivingUntil) + bytes / this.rate * MILLISECONDS_PER_SECOND
    await this._clock.sleep(this._receivingUntil - this._clock.now() as Milliseconds)
  }
}

/** All nodes of a region; they start simultaneously, as after a power failure. */
export class ViewRegion {
  public readonly clock = new ManualClock()
  public readonly nodes: IRegionNode[]
  private readonly _store = new MemoryStore()
  private readonly _network: MemoryNetwork
  private readonly _random: RandomService

  constructor (private readonly _options: IViewRegionOptions) {
    this._random = new RandomService(_options.seed)
    this._network = new MemoryNetwork({ clock: this.clock, random: this._random, latency: LATENCY, dialTimeout: 1_000 as Milliseconds })
    this.nodes = Array.from({ length: _options.nodes }, (_, number) => this._createNode(number))
  }

  /** Writes a configuration; returns the time of its confirmation. */
  public configure (text: string): Timestamp {
    this._store.put(CONFIGURATION_ROW.table, CONFIGURATION_ROW.key, text)
    return this.clock.now()
  }

  /** Starts every node, and gives them `settleTime` to learn of the configuration and of each other. */
  public async start (settleTime: Milliseconds): Promise<void> {
    await Promise.all(this.nodes.map(({ view }) => view.start()))
    await this.clock.advance(settleTime)
  }

  /** The longest time from the confirmation of a version until it or a newer one was active at a node; infinite if it never was. */
  public longestDelay (confirmed: ReadonlyMap<number, Timestamp>, nodes: readonly IRegionNode[] = this.nodes): number {
    const delays = nodes.flatMap((node) => [...confirmed].map(([version, at]) => activeSince(node, version) - at))
    return Math.max(...delays)
  }

  /** Partitions a node from the store and from all nodes of other failure domains. */
  public isolate (node: IRegionNode): void {
    node.feed.isReachable = false
    for (const { transport } of this.nodes) this._network.cut(node.transport.failureDomain, transport.failureDomain)
  }

  public reconnect (node: IRegionNode): void {
    node.feed.isReachable = true
    this._network.healAll()
  }

  /** Partitions the failure domain of one node from those of others. */
  public partitionFrom (node: IRegionNode, others: readonly IRegionNode[]): void {
    for (const { transport } of others) this._network.cut(node.transport.failureDomain, transport.failureDomain)
  }

  /** The highest-ranked reader: the node whose view the others follow. */
  public get reader (): IRegionNode {
    return this._ranked(0)
  }

  /** The second-ranked reader, which takes over if the first one fails. */
  public get secondReader (): IRegionNode {
    return this._ranked(1)
  }

  private _ranked (rank: number): IRegionNode {
    const name = createReaderRanking(REGION).top(this.nodes.map((node) => node.name), rank + 1)[rank]
    const found = this.nodes.find((node) => node.name === name)
    if (found === undefined) throw new Error(`no node has rank ${rank}`)
    return found
  }

  private _createNode (number: number): IRegionNode {
    const name = `node-${number}` as NodeName
    const failureDomain = `z${number % DOMAIN_COUNT}` as FailureDomain
    const address = `10.0.0.${number}:2` as NetworkAddress
    const row = { node: name, failureDomain, region: REGION, gateAddress: `10.0.0.${number}:1` as NetworkAddress, peerAddress: address, isLeaving: false }
    this._store.put(NODE_TABLE, name as string as RowKey, encodeNodeRow(row))
    const transport = this._network.createTransport(address, failureDomain)
    transport.sendRate = this._options.linkRate
    const log = new RecordingLog()
    const metrics = new MetricsService()
    const configuration = new ConfigurationService({
      decoder: new ConfigurationDecoder(), log, metrics, invariants: new InvariantService({ log, metrics })
    })
    const applied = new Map<number, Timestamp>()
    configuration.onReplaced(({ configuration: { version } }) => applied.set(version, this.clock.now()))
    const feed = new MemoryFeed(this._store, this.clock, this._options.linkRate)
    const view = new ViewService({
      self: { name, failureDomain, region: REGION },
      configuration,
      nodes: new NodeTable({ log }),
      feed,
      configurationRow: CONFIGURATION_ROW,
      transport,
      clock: this.clock,
      random: this._random,
      log,
      metrics
    })
    return { name, view, configuration, transport, feed, log, applied }
  }
}

/** Time at which this version or a newer one became active at a node. */
function activeSince ({ applied }: IRegionNode, version: number): number {
  return Math.min(...[...applied].filter(([candidate]) => candidate >= version).map(([, time]) => time))
}
