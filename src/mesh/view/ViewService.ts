/** Keeps the view of this node current: by the store, or by a node that reads it. */
import { Counter } from 'prom-client'
import type { IClockService, ILogService, IMetricsService, IRandomService, IService } from '../../common/Services.js'
import type { Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import type { IPeerTransport } from '../../membership/Services.js'
import type { IChangeFeed } from '../../platform/Services.js'
import type { IRowReference, TableName } from '../../platform/Types.js'
import { VIEW_LINK_LOST, VIEW_READING_STARTED, VIEW_READING_STOPPED } from '../Events.js'
import type { IConfigurationService, INodeIdentity, IViewService } from '../Services.js'
import type { NodeName } from '../Types.js'
import type { NodeTable } from './NodeTable.js'
import { ReadingPolicy, type IChoiceState, type IViewSource } from './ReadingPolicy.js'
import { TableFollower } from './TableFollower.js'
import { ViewServer } from './ViewServer.js'
import { ViewSources } from './ViewSources.js'
import { ViewState } from './ViewState.js'

/** Name of the table of nodes. */
export const NODE_TABLE = 'nodes' as TableName

/** Times of the view. */
export interface IViewTimes {
  /** Longest time that the store is asked to wait for a new configuration. */
  readonly configurationWait: Milliseconds
  /** Pause after a new configuration. */
  readonly configurationGather: Milliseconds
  /** Longest time that the store is asked to wait for a change of the nodes. */
  readonly nodesWait: Milliseconds
  /** Pause after a change of the nodes. */
  readonly nodesGather: Milliseconds
  /** Time between two looks at who should be followed. */
  readonly choiceInterval: Milliseconds
  /** Time without a reading of the store after which any other node is asked. */
  readonly storeLostAfter: Milliseconds
}

/** Defaults of `ViewService`. Waits are well below the seconds within which a change must be in force. */
export const DEFAULT_VIEW_TIMES: IViewTimes = Object.freeze({
  configurationWait: 600 as Milliseconds,
  configurationGather: 200 as Milliseconds,
  nodesWait: 2_500 as Milliseconds,
  nodesGather: 300 as Milliseconds,
  choiceInterval: 200 as Milliseconds,
  storeLostAfter: 300 as Milliseconds
})

/** What the view needs. */
export interface IViewServiceOptions {
  readonly self: INodeIdentity
  readonly configuration: IConfigurationService
  readonly nodes: NodeTable
  readonly feed: IChangeFeed
  readonly configurationRow: IRowReference
  readonly transport: IPeerTransport
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly times?: Partial<IViewTimes>
}

/** One task chooses whom to follow; meanwhile, or for want of anyone, the store is followed. */
export class ViewService implements IViewService, IService {
  public readonly completed: Promise<void>
  private readonly _times: IViewTimes
  private readonly _state: ViewState
  private readonly _server: ViewServer
  private readonly _policy: ReadingPolicy
  private readonly _configurationFollower: TableFollower
  private readonly _followers: readonly TableFollower[]
  private readonly _startedAt: Timestamp
  private readonly _readings: Counter
  private _complete: (() => void) | undefined
  private readonly _sources: ViewSources
  private _endWait: (() => void) | undefined
  private _lastCurrentAt: Timestamp
  private _isStopping = false

  constructor (private readonly _options: IViewServiceOptions) {
    const { clock, random, self } = _options
    this._times = { ...DEFAULT_VIEW_TIMES, ..._options.times }
    this._startedAt = clock.now()
    this._lastCurrentAt = this._startedAt
    this._state = new ViewState(_options)
    this._policy = new ReadingPolicy(self, random)
    this._sources = new ViewSources({ ..._options, state: this._state, policy: this._policy })
    this._sources.onCurrent((source) => this._onSourceCurrent(source))
    this._sources.onLost((reason) => this._onSourceLost(reason))
    this._server = new ViewServer({
      ..._options,
      state: this._state,
      isCurrent: () => this.isCurrent,
      hops: () => this._hops,
      source: () => this._source,
      confirmedAt: () => this.confirmedAt,
      onOffer: (node) => this._onOffer(node)
    })
    this._configurationFollower = this._createConfigurationFollower()
    this._followers = [this._configurationFollower, this._createNodesFollower()]
    this.completed = new Promise((resolve) => { this._complete = resolve })
    this._readings = new Counter({
      name: 'savoryknot_view_batches_total',
      help: 'Answers of the store to readings of the view, by table. Unit: answers.',
      labelNames: ['table'],
      registers: [_options.metrics.registry]
    })
  }

  public get isCurrent (): boolean {
    return this._isReadingCurrent || this._sources.current !== undefined
  }

  public get confirmedAt (): Timestamp {
    return Math.max(this._startedAt, this._configurationFollower.confirmedAt, this._sources.confirmedAt) as Timestamp
  }

  public async start (): Promise<void> {
    // The store is asked first, so that the transport opens its port while the answers are on their way.
    this._run().catch((error: unknown) => {
      this._options.log.log(VIEW_LINK_LOST, { step: 'view.run', reason: String(error) })
      this._startReading('task failed')
    })
    await this._options.transport.listen((channel) => { this._server.accept(channel) })
  }

  public async stop (): Promise<void> {
    this._isStopping = true
    this._sources.dispose()
    for (const follower of this._followers) follower.stop()
    this._server.dispose()
    await this._options.transport.close()
  }

  public suggestPeer (address: string): void {
    if (!this._state.isComplete) this._policy.suggest(address as NetworkAddress)
  }

  private async _run (): Promise<void> {
    const { clock, nodes } = this._options
    this._startReading('start')
    while (!this._isStopping) {
      const now = clock.now()
      if (this.isCurrent) this._lastCurrentAt = now
      const source = this._isFollowingPreferred ? undefined : this._policy.choose(nodes.nodes, this._choiceState(now), now)
      if (source === undefined) await this._waitForChoice()
      else await this._sources.open(source)
    }
  }

  private _choiceState (now: Timestamp): IChoiceState {
    return {
      isStoreLost: now - this._lastCurrentAt > this._times.storeLostAfter,
      isLinked: (name) => this._sources.isLinked(name)
    }
  }

  private async _waitForChoice (): Promise<void> {
    const { clock } = this._options
    if (!this._isFollowingPreferred) this._startReading('no node ranks above this one, or none can be reached')
    this._sources.offer(this._isReadingCurrent)
    const lost = new Promise<void>((resolve) => { this._endWait = resolve })
    await Promise.race([clock.sleep(this._times.choiceInterval), lost])
  }

  private get _isFollowingPreferred (): boolean {
    return this._sources.current?.source.isPreferred === true
  }

  /** The store is read until a node above this one gives a current view. Substitutes are left once the store can be read again. */
  private _onSourceCurrent (source: IViewSource): void {
    this._policy.recordCurrent()
    this._lastCurrentAt = this._options.clock.now()
    this._checkComplete()
    if (source.isPreferred) {
      this._sources.releaseOthers(source)
      this._stopReading()
    } else if (this._isReadingCurrent) {
      this._sources.releaseSubstitutes()
    }
  }

  private _onSourceLost (reason: string): void {
    if (this._isFollowingPreferred) return
    this._startReading(reason)
    this._endWait?.()
  }

  private get _isReadingCurrent (): boolean {
    const now = this._options.clock.now()
    return this._followers.every((follower) => follower.isCurrent(now))
  }

  private get _hops (): number {
    const source = this._sources.current
    return this._isReadingCurrent || source === undefined ? 0 : source.hops + 1
  }

  private get _source (): NodeName | undefined {
    return this._hops === 0 ? undefined : this._sources.current?.peer
  }

  private _startReading (reason: string): void {
    if (this._isStopping || this._followers.every((follower) => follower.isRunning)) return
    this._options.log.log(VIEW_READING_STARTED, { step: 'view.read', reason })
    for (const follower of this._followers) follower.start()
  }

  private _stopReading (): void {
    if (!this._followers.some((follower) => follower.isRunning)) return
    for (const follower of this._followers) follower.stop()
    this._options.log.log(VIEW_READING_STOPPED, { step: 'view.read' })
  }

  private _onOffer (node: NodeName): void {
    this._policy.offer(node)
    this._endWait?.()
  }

  private _checkComplete (): void {
    if (!this._state.isComplete) return
    this._complete?.()
    this._complete = undefined
  }

  private _createConfigurationFollower (): TableFollower {
    const { configurationWait, configurationGather } = this._times
    return new TableFollower({
      ...this._options,
      table: this._options.configurationRow.table,
      position: () => this._state.configurationPosition,
      wait: configurationWait,
      gather: configurationGather,
      skipsStates: true,
      onBatch: (batch, now) => {
        this._readings.inc({ table: 'configuration' })
        this._state.applyConfigurationBatch(batch, now)
        this._checkComplete()
      }
    })
  }

  private _createNodesFollower (): TableFollower {
    const { nodesWait, nodesGather } = this._times
    return new TableFollower({
      ...this._options,
      table: NODE_TABLE,
      position: () => this._state.nodes.position,
      wait: nodesWait,
      gather: nodesGather,
      skipsStates: false,
      onBatch: (batch, now) => {
        this._readings.inc({ table: 'nodes' })
        this._options.nodes.apply(batch, now)
        this._checkComplete()
      }
    })
  }
}
