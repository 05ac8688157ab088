/** The views of all nodes of one region in simulated time, on a store in memory and links of limited rate. */
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

/** Shape of a region. */
export interface IViewRegionOptions {
  readonly seed: number
  readonly nodes: number
  /** Bytes a second that each node can send, and as many that it can receive from the store. */
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
  /** When each version came into force here. */
  readonly applied: Map<number, Timestamp>
}

const CONFIGURATION_ROW: IRowReference = { table: 'op' as TableName, key: 'config' as RowKey }
const REGION = 'r1' as Region
const DOMAINS = 3
/** Time of one call of the store, both ways. */
const STORE_ROUND_TRIP_MS = 20
/** Bytes on the wire for each of a row. */
const ENCODING_FACTOR = 4 / 3
const MILLISECONDS_PER_SECOND = 1_000
const LATENCY = Object.freeze({ minimum: 0.5, maximum: 1 })

/** Rows of a store that never fails. Its changes hold every state of a row, a whole table only the newest. */
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

  public whole (table: TableName): IChangedRow[] {
    const newest = new Map(this._states.filter((row) => row.table === table).map((row) => [row.key, row]))
    return [...newest.values()]
  }

  public onNextChange (action: () => void): void {
    this._waiters.push(action)
  }
}

/** The way of one node to the store. */
export class MemoryFeed implements IChangeFeed {
  /** False while the node cannot reach the store. */
  public isReachable = true
  /** Time of one call, both ways. */
  public roundTrip = STORE_ROUND_TRIP_MS
  public calls = 0
  private _receivingUntil = 0

  constructor (private readonly _store: MemoryStore, private readonly _clock: ManualClock, public rate: number) {}

  public async readAll (table: TableName, patience: Milliseconds): Promise<IChangeBatch> {
    const startedAt = this._clock.now()
    await this._send()
    await this._begin(startedAt, patience)
    const batch = { rows: this._store.whole(table), position: this._store.position as StorePosition, isWhole: true }
    await this._receive(batch.rows)
    return batch
  }

  public async changesAfter (table: TableName, position: StorePosition, wait: Milliseconds, patience: Milliseconds): Promise<IChangeBatch> {
    const startedAt = this._clock.now()
    await this._send()
    const until = this._clock.now() + wait
    while (this._store.changesAfter(table, position).length === 0 && this._clock.now() < until) await this._nextChange(until)
    await this._begin(startedAt, wait + patience as Milliseconds)
    const rows = this._store.changesAfter(table, position)
    const batch = { rows, position: this._store.position as StorePosition, isWhole: false }
    await this._receive(batch.rows)
    return batch
  }

  private async _send (): Promise<void> {
    this.calls++
    await this._clock.sleep(this.roundTrip / 2 as Milliseconds)
    if (!this.isReachable) throw new PlatformUnavailableError('store cannot be reached', { step: 'test' })
  }

  /** The first byte of the answer reaches the node, or comes too late for it. */
  private async _begin (startedAt: Timestamp, patience: Milliseconds): Promise<void> {
    const left = startedAt + patience - this._clock.now()
    await this._clock.sleep(Math.max(0, Math.min(left, this.roundTrip / 2)) as Milliseconds)
    if (left < this.roundTrip / 2) throw new PlatformUnavailableError('answer did not begin in time', { step: 'test' })
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

/** Starts all nodes at once, as after a loss of power. */
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

  /** Writes a configuration; returns when it was confirmed. */
  public configure (text: string): Timestamp {
    this._store.put(CONFIGURATION_ROW.table, CONFIGURATION_ROW.key, text)
    return this.clock.now()
  }

  /** Starts every node, and waits until all know the configuration and each other. */
  public async start (settle: Milliseconds): Promise<void> {
    await Promise.all(this.nodes.map(({ view }) => view.start()))
    await this.clock.advance(settle)
  }

  /** The longest time from the confirmation of one of these versions until a node had it or a newer one; infinite if one never had. */
  public longestDelay (confirmed: ReadonlyMap<number, Timestamp>, nodes: readonly IRegionNode[] = this.nodes): number {
    const delays = nodes.flatMap((node) => [...confirmed].map(([version, at]) => inForceAt(node, version) - at))
    return Math.max(...delays)
  }

  /** Cuts a node off from the store and from every other node of another failure domain. */
  public cutOff (node: IRegionNode): void {
    node.feed.isReachable = false
    for (const { transport } of this.nodes) this._network.cut(node.transport.failureDomain, transport.failureDomain)
  }

  public reconnect (node: IRegionNode): void {
    node.feed.isReachable = true
    this._network.healAll()
  }

  /** Cuts one node off from others of other failure domains. */
  public cutBetween (node: IRegionNode, others: readonly IRegionNode[]): void {
    for (const { transport } of others) this._network.cut(node.transport.failureDomain, transport.failureDomain)
  }

  /** The node that the others follow. */
  public get reader (): IRegionNode {
    return this._ranked(0)
  }

  /** The node that takes over from it. */
  public get secondReader (): IRegionNode {
    return this._ranked(1)
  }

  private _ranked (place: number): IRegionNode {
    const name = createReaderRanking(REGION).top(this.nodes.map((node) => node.name), place + 1)[place]
    const found = this.nodes.find((node) => node.name === name)
    if (found === undefined) throw new Error(`no node ranks at place ${place}`)
    return found
  }

  private _createNode (number: number): IRegionNode {
    const name = `node-${number}` as NodeName
    const failureDomain = `z${number % DOMAINS}` as FailureDomain
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

/** When a node had this version or a newer one. */
function inForceAt ({ applied }: IRegionNode, version: number): number {
  return Math.min(...[...applied].filter(([candidate]) => candidate >= version).map(([, time]) => time))
}
