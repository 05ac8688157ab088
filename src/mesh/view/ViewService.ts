/** Keeps the view of this node current, from the store or from another node. */
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
import { ViewSourcePolicy, type ISelectionState, type IViewSource } from './ViewSourcePolicy.js'
import { TableFollower } from './TableFollower.js'
import { ViewServer } from './ViewServer.js'
import { ViewSources } from './ViewSources.js'
import { ViewState } from './ViewState.js'

/** Name of the table of nodes. */
export const NODE_TABLE = 'nodes' as TableName

/** Timeouts and intervals of `ViewService`. */
export interface IViewTimes {
  /** Long-poll timeout: the time for which the store is asked to wait for a new configuration. */
  readonly configurationLongPollTimeout: Milliseconds
  /** Pause after a new configuration, so that further changes arrive in one response. */
  readonly configurationBatchDelay: Milliseconds
  /** Long-poll timeout: the time for which the store is asked to wait for a change of the node table. */
  readonly nodesLongPollTimeout: Milliseconds
  /** Pause after a change of the node table, so that further changes arrive in one response. */
  readonly nodesBatchDelay: Milliseconds
  /** Maximum pause after the first read of the node table. */
  readonly nodesInitialDelay: Milliseconds
  /** Long-poll timeout of the first read of changes of the configuration. */
  readonly configurationInitialTimeout: Milliseconds
  /** Interval of the selection of a source while the node does not follow a preferred one. */
  readonly selectionInterval: Milliseconds
  /** The same while it does. The loss of the source starts a selection at once. */
  readonly followingInterval: Milliseconds
  /** Time without a current view after which any other node may become the source. */
  readonly storeUnavailableAfter: Milliseconds
}

/** Defaults of `ViewService`. Timeouts are well below the seconds within which a change must be active. */
export const DEFAULT_VIEW_TIMES: IViewTimes = Object.freeze({
  configurationLongPollTimeout: 600 as Milliseconds,
  configurationBatchDelay: 200 as Milliseconds,
  nodesLongPollTimeout: 2_500 as Milliseconds,
  nodesBatchDelay: 300 as Milliseconds,
  nodesInitialDelay: 1_000 as Milliseconds,
  configurationInitialTimeout: 1_800 as Milliseconds,
  selectionInterval: 200 as Milliseconds,
  followingInterval: 5_000 as Milliseconds,
  storeUnavailableAfter: 300 as Milliseconds
})

/** Dependencies and options of `ViewService`. */
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

/** Runs one task that selects a source to follow. The store is read until a source has a current view, and if there is no source. */
export class ViewService implements IViewService, IService {
  public readonly completed: Promise<void>
  private readonly _times: IViewTimes
  private readonly _state: ViewState
  private readonly _server: ViewServer
  private readonly _policy: ViewSourcePolicy
  private readonly _configurationFollower: TableFollower
  private readonly _followers: readonly TableFollower[]
  private readonly _startedAt: Timestamp
  private readonly _batchCounter: Counter
  private _resolveCompleted: (() => void) | undefined
  private readonly _sources: ViewSources
  private _wakeSelection: (() => void) | undefined
  private _lastCurrentAt: Timestamp
  private _isStopping = false

  constructor (private readonly _options: IViewServiceOptions) {
    const { clock, random, self } = _options
    this._times = { ...DEFAULT_VIEW_TIMES, ..._options.times }
    this._startedAt = clock.now()
    this._lastCurrentAt = this._startedAt
    this._state = new ViewState(_options)
    this._policy = new ViewSourcePolicy(self, random)
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
    this.completed = new Promise((resolve) => { this._resolveCompleted = resolve })
    this._batchCounter = new Counter({
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
    // The store is queried first, so that the transport opens its port while the requests are in flight.
    this._run().catch((error: unknown) => {
      this._options.log.log(VIEW_LINK_LOST, { step: 'view.run', reason: String(error) })
      this._startReading('source selection failed')
    })
    await this._options.transport.listen((channel) => { this._server.accept(channel) })
  }

  public async stop (): Promise<void> {
    this._isStopping = true
    this._wakeSelection?.()
    this._sources.dispose()
    for (const follower of this._followers) follower.stop()
    this._server.dispose()
    await this._options.transport.close()
  }

  public addPeerAddress (address: string): void {
    if (!this._state.isComplete) this._policy.recordSuggestion(address as NetworkAddress)
  }

  private async _run (): Promise<void> {
    const { clock, nodes } = this._options
    this._startReading('start')
    while (!this._isStopping) {
      const now = clock.now()
      if (this.isCurrent) this._lastCurrentAt = now
      const source = this._isFollowingPreferred ? undefined : this._policy.choose(nodes.nodes, this._selectionState(now), now)
      if (source === undefined) await this._waitForNextSelection()
      else await this._sources.open(source)
    }
  }

  private _selectionState (now: Timestamp): ISelectionState {
    return {
      isStoreUnavailable: now - this._lastCurrentAt > this._times.storeUnavailableAfter,
      isLinked: (name) => this._sources.isLinked(name)
    }
  }

  private async _waitForNextSelection (): Promise<void> {
    const { clock } = this._options
    const { selectionInterval, followingInterval } = this._times
    const isFollowing = this._isFollowingPreferred
    if (!isFollowing) this._startReading('no higher-ranked node, or none is reachable')
    this._sources.reportStoreReading(this._isReadingCurrent)
    await new Promise<void>((resolve) => {
      const timer = clock.after(isFollowing ? followingInterval : selectionInterval, resolve)
      this._wakeSelection = () => {
        timer.dispose()
        resolve()
      }
    })
  }

  private get _isFollowingPreferred (): boolean {
    return this._sources.current?.source.isPreferred === true
  }

  /** Stops reading the store once a higher-ranked node has a current view. Releases fallback sources once the store can be read again. */
  private _onSourceCurrent (source: IViewSource): void {
    this._policy.recordCurrentView()
    this._lastCurrentAt = this._options.clock.now()
    this._checkComplete()
    if (source.isPreferred) {
      this._sources.releaseOthers(source)
      this._stopReading()
    } else if (this._isReadingCurrent) {
      this._sources.releaseFallbacks()
    }
  }

  private _onSourceLost (reason: string): void {
    if (this._isFollowingPreferred) return
    this._startReading(reason)
    this._wakeSelection?.()
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
    this._policy.recordOffer(node)
    this._wakeSelection?.()
  }

  private _checkComplete (): void {
    if (!this._state.isComplete) return
    this._resolveCompleted?.()
    this._resolveCompleted = undefined
  }

  private _createConfigurationFollower (): TableFollower {
    const { configurationLongPollTimeout, configurationBatchDelay, configurationInitialTimeout } = this._times
    return new TableFollower({
      ...this._options,
      table: this._options.configurationRow.table,
      position: () => this._state.configurationPosition,
      longPollTimeout: configurationLongPollTimeout,
      batchDelay: configurationBatchDelay,
      initialDelay: configurationBatchDelay,
      initialLongPollTimeout: configurationInitialTimeout,
      shouldSkipSupersededStates: true,
      onBatch: (batch, now) => {
        this._batchCounter.inc({ table: 'configuration' })
        this._state.applyConfigurationBatch(batch, now)
        this._checkComplete()
      }
    })
  }

  private _createNodesFollower (): TableFollower {
    const { nodesLongPollTimeout, nodesBatchDelay, nodesInitialDelay } = this._times
    return new TableFollower({
      ...this._options,
      table: NODE_TABLE,
      position: () => this._state.nodes.position,
      longPollTimeout: nodesLongPollTimeout,
      batchDelay: nodesBatchDelay,
      initialDelay: nodesInitialDelay,
      initialLongPollTimeout: nodesLongPollTimeout,
      shouldSkipSupersededStates: false,
      onBatch: (batch, now) => {
        this._batchCounter.inc({ table: 'nodes' })
        this._state.applyNodesBatch(batch, now)
        this._checkComplete()
      }
    })
  }
}
