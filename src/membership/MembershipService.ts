/** Maintains the member view of this node. */
import { createNodeId } from '../common/Ids.js'
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { DomainReachability } from './DomainReachability.js'
import { EndpointIndex } from './EndpointIndex.js'
import {
  DOMAIN_REACHABLE, DOMAIN_UNREACHABLE, MEMBER_DEAD, MEMBER_JOINED, MEMBER_LEFT, MEMBER_REFUTED, MEMBER_SUSPECTED,
  MEMBER_VIEW_FULL, NODE_ISOLATED, NODE_REJOINED, SUSPICION_OF_SELF_REFUTED
} from './Events.js'
import { MemberDigest } from './MemberDigest.js'
import { MembershipMetrics } from './MembershipMetrics.js'
import { DEFAULT_MEMBERSHIP_SETTINGS, type IMembershipSettings } from './Options.js'
import { isIncarnationPlausible, isDeadOrLeft, isNewerRecord } from './RecordOrder.js'
import { SuspicionTimers } from './SuspicionTimers.js'
import type { IClockService, IEventDefinition, ILogService, IMetricsService, IRandomService, IService } from '../common/Services.js'
import type { EndpointId, FailureDomain, IEvent, ILocation, NetworkAddress, NodeId, ServiceName, Timestamp } from '../common/Types.js'
import type { IMembershipService } from './Services.js'
import type { EndpointState, IDomainView, IEndpoint, INodeRecord, IRoutableEndpoint, MemberState } from './Types.js'

/** Identity, location and addresses of this node. */
export interface ISelfOptions extends ILocation {
  /** Generated if it is not given. */
  readonly id?: NodeId
  readonly peerAddress: NetworkAddress
  readonly gateAddress: NetworkAddress
  readonly software: string
}

/** Dependencies and settings of MembershipService. */
export interface IMembershipServiceOptions {
  readonly self: ISelfOptions
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly settings?: Partial<IMembershipSettings>
}

/** A statement of a gateway expires after this number of statement intervals. */
const STATEMENT_LIFETIME_INTERVALS = 3

const NO_MEMBERS: ReadonlyMap<NodeId, INodeRecord> = new Map()

const STATE_EVENTS: Readonly<Record<MemberState, IEventDefinition>> = Object.freeze({
  alive: MEMBER_JOINED, suspect: MEMBER_SUSPECTED, dead: MEMBER_DEAD, left: MEMBER_LEFT
})

/** Merges records by their precedence, refutes suspicions of this node and indexes the endpoints of each service. */
export class MembershipService extends Disposable implements IMembershipService, IService {
  public readonly digest = new MemberDigest()
  public readonly reachability: DomainReachability
  private readonly _settings: IMembershipSettings
  private readonly _members = new Map<NodeId, INodeRecord>()
  private readonly _aliveOrSuspectByDomain = new Map<FailureDomain, Map<NodeId, INodeRecord>>()
  private readonly _endpointIndex: EndpointIndex
  private readonly _suspicionTimers: SuspicionTimers
  private readonly _onEndpointsChanged = this.register(new Emitter<ReadonlySet<ServiceName>>())
  private readonly _onRecordChanged = this.register(new Emitter<INodeRecord>())
  private readonly _onReachabilityChanged = this.register(new Emitter<void>())
  private _self: INodeRecord
  private _isIsolated = false
  private _isLeaving = false

  constructor (private readonly _options: IMembershipServiceOptions) {
    super()
    this._settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ..._options.settings }
    const { domainTimeout, statementInterval } = this._settings
    const statementLifetime = statementInterval * STATEMENT_LIFETIME_INTERVALS as typeof statementInterval
    this.reachability = new DomainReachability({ ownDomain: _options.self.failureDomain, timeout: domainTimeout, statementLifetime })
    this._endpointIndex = new EndpointIndex({ members: this._members, isReachable: (record) => this._isReachable(record) })
    this._suspicionTimers = new SuspicionTimers({ settings: this._settings, random: _options.random })
    this._self = createSelf(_options.self)
    this._applyRecord(undefined, this._self, _options.clock.now(), new Set())
    this.register(new MembershipMetrics(this, _options.metrics))
  }

  public get self (): INodeRecord {
    return this._self
  }

  public get members (): ReadonlyMap<NodeId, INodeRecord> {
    return this._members
  }

  public aliveOrSuspectIn (failureDomain: FailureDomain): ReadonlyMap<NodeId, INodeRecord> {
    return this._aliveOrSuspectByDomain.get(failureDomain) ?? NO_MEMBERS
  }

  /** Members of a failure domain whose state is alive. */
  public aliveIn (failureDomain: FailureDomain): readonly INodeRecord[] {
    return [...this.aliveOrSuspectIn(failureDomain).values()].filter((record) => record.state === 'alive')
  }

  /** Members that are dead or left and whose records have not been removed yet. */
  public get deadOrLeftIds (): readonly NodeId[] {
    return this._suspicionTimers.deadOrLeftIds
  }

  /** True while this node has no link although it knows other members; all other nodes then count as unreachable. */
  public get isIsolated (): boolean {
    return this._isIsolated
  }

  public get onEndpointsChanged (): IEvent<ReadonlySet<ServiceName>> {
    return this._onEndpointsChanged.event
  }

  public get onRecordChanged (): IEvent<INodeRecord> {
    return this._onRecordChanged.event
  }

  /** Fires after a failure domain became reachable or unreachable, or this node became isolated or linked again. */
  public get onReachabilityChanged (): IEvent<void> {
    return this._onReachabilityChanged.event
  }

  public start (): void {
    const { clock } = this._options
    this.register(clock.every(this._settings.sweepInterval, () => this._sweep(clock.now())))
  }

  public stop (): void {
    this.dispose()
  }

  public endpoints (service: ServiceName): readonly IRoutableEndpoint[] {
    return this._endpointIndex.endpoints(service)
  }

  public domains (now: Timestamp): readonly IDomainView[] {
    return [...this.reachability.domains].map(({ failureDomain, region, lastContactAt, isReachable }) => {
      const isOwn = failureDomain === this._self.failureDomain
      const aliveMembers = this.aliveOrSuspectIn(failureDomain).size
      return { failureDomain, region, isReachable, lastContactAt: isOwn ? now : lastContactAt, aliveMembers }
    })
  }

  public announceEndpoint (endpoint: IEndpoint, now: Timestamp): void {
    const others = this._self.endpoints.filter((candidate) => candidate.id !== endpoint.id)
    this._updateSelf({ endpoints: [...others, Object.freeze({ ...endpoint })] }, now)
  }

  public setEndpointState (id: EndpointId, state: EndpointState, now: Timestamp): void {
    const endpoints = this._self.endpoints.map((endpoint) => {
      return endpoint.id === id ? Object.freeze({ ...endpoint, state, since: now }) : endpoint
    })
    this._updateSelf({ endpoints }, now)
  }

  public async leave (now: Timestamp): Promise<void> {
    this._isLeaving = true
    const endpoints = this._self.endpoints.map((endpoint) => Object.freeze({ ...endpoint, state: 'left' as const, since: now }))
    this._updateSelf({ state: 'left', endpoints }, now)
    await this._options.clock.sleep(this._settings.leaveGrace)
  }

  /** Merges records received from a peer; records that are older than the current ones have no effect. */
  public merge (records: readonly INodeRecord[], now: Timestamp): void {
    const changed = new Set<ServiceName>()
    for (const record of records) this._mergeRecord(record, now, changed)
    this._fireEndpointsChanged(changed)
  }

  /** Marks a member of the own failure domain that this node found unresponsive as suspect. */
  public suspect (id: NodeId, now: Timestamp): void {
    const current = this._members.get(id)
    if (current?.state !== 'alive' || id === this._self.id) return
    this._suspicionTimers.startOwnSuspicion(id, now)
    this.merge([Object.freeze({ ...current, state: 'suspect' as const })], now)
  }

  /** Marks a member as dead, because its suspicion expired or because another process runs at its address. */
  public declareDead (id: NodeId, now: Timestamp): void {
    const current = this._members.get(id)
    if (current === undefined || isDeadOrLeft(current.state) || id === this._self.id) return
    this.merge([Object.freeze({ ...current, state: 'dead' as const })], now)
  }

  /** Called by the overlay; `isIsolated` is true while this node knows other members but has no link. */
  public setIsolated (isIsolated: boolean): void {
    if (isIsolated === this._isIsolated) return
    this._isIsolated = isIsolated
    this._options.log.log(isIsolated ? NODE_ISOLATED : NODE_REJOINED, { step: 'membership.isolation' })
    this._refreshReachability()
  }

  private _isReachable (record: INodeRecord): boolean {
    if (record.id === this._self.id) return true
    return record.state === 'alive' && !this._isIsolated && this.reachability.isReachable(record.failureDomain)
  }

  private _mergeRecord (record: INodeRecord, now: Timestamp, changed: Set<ServiceName>): void {
    if (record.id === this._self.id) {
      this._refute(record, now)
      return
    }
    const current = this._members.get(record.id)
    if (!isNewerRecord(record, current) || !isIncarnationPlausible(record, current)) return
    if (current === undefined && this._members.size >= this._settings.maximumMembers) {
      this._options.log.log(MEMBER_VIEW_FULL, { step: 'membership.merge', peer: record.id, limit: this._settings.maximumMembers })
      return
    }
    this._applyRecord(current, record, now, changed)
    this._declarePredecessorDead(record, now)
  }

  /** The peer address belongs to this process, so an earlier process at the same address no longer runs. */
  private _declarePredecessorDead (record: INodeRecord, now: Timestamp): void {
    const isAtOwnAddress = record.peerAddress === this._self.peerAddress && record.failureDomain === this._self.failureDomain
    if (isAtOwnAddress) this.declareDead(record.id, now)
  }

  private _refute (record: INodeRecord, now: Timestamp): void {
    if (this._isLeaving || !isNewerRecord(record, this._self) || !isIncarnationPlausible(record, this._self)) return
    this._options.log.log(SUSPICION_OF_SELF_REFUTED, { step: 'membership.refute', state: record.state, incarnation: record.incarnation })
    this._updateSelf({ incarnation: record.incarnation + 1, sequence: Math.max(this._self.sequence, record.sequence) }, now)
  }

  private _updateSelf (change: Partial<INodeRecord>, now: Timestamp): void {
    const current = this._self
    this._self = Object.freeze({ ...current, sequence: current.sequence + 1, ...change })
    const changed = new Set<ServiceName>()
    this._applyRecord(current, this._self, now, changed)
    this._fireEndpointsChanged(changed)
  }

  private _applyRecord (current: INodeRecord | undefined, record: INodeRecord, now: Timestamp, changed: Set<ServiceName>): void {
    if (current !== undefined && !isDeadOrLeft(current.state)) this.digest.toggle(current)
    if (!isDeadOrLeft(record.state)) this.digest.toggle(record)
    this._members.set(record.id, record)
    this._updateAliveOrSuspectIndex(current, record)
    this._endpointIndex.replace(current, record, changed)
    this.reachability.discover(record.failureDomain, record.region, now)
    this._suspicionTimers.observe(record, { isMonitored: record.failureDomain === this._self.failureDomain, now })
    this._logChange(current, record)
    this._onRecordChanged.fire(record)
  }

  private _updateAliveOrSuspectIndex (current: INodeRecord | undefined, record: INodeRecord): void {
    if (current !== undefined) this._aliveOrSuspectByDomain.get(current.failureDomain)?.delete(current.id)
    if (isDeadOrLeft(record.state)) return
    let members = this._aliveOrSuspectByDomain.get(record.failureDomain)
    if (members === undefined) {
      members = new Map()
      this._aliveOrSuspectByDomain.set(record.failureDomain, members)
    }
    members.set(record.id, record)
  }

  private _logChange (current: INodeRecord | undefined, record: INodeRecord): void {
    if (current?.state === record.state || record.id === this._self.id) return
    const event = record.state === 'alive' && current !== undefined ? MEMBER_REFUTED : STATE_EVENTS[record.state]
    this._options.log.log(event, { step: 'membership.merge', peer: record.id, failureDomain: record.failureDomain, address: record.peerAddress })
  }

  private _fireEndpointsChanged (changed: ReadonlySet<ServiceName>): void {
    if (changed.size > 0) this._onEndpointsChanged.fire(changed)
  }

  private _sweep (now: Timestamp): void {
    const { dead, forgotten } = this._suspicionTimers.removeDue(now)
    for (const id of dead) this.declareDead(id, now)
    for (const id of forgotten) this._members.delete(id)
    const changes = this.reachability.sweep(now)
    for (const { failureDomain, isReachable } of changes) {
      this._options.log.log(isReachable ? DOMAIN_REACHABLE : DOMAIN_UNREACHABLE, { step: 'membership.reachability', failureDomain })
    }
    if (changes.length > 0) this._refreshReachability()
  }

  private _refreshReachability (): void {
    this._fireEndpointsChanged(this._endpointIndex.invalidate())
    this._onReachabilityChanged.fire()
  }
}

function createSelf (options: ISelfOptions): INodeRecord {
  const { id = createNodeId(), failureDomain, region, peerAddress, gateAddress, software } = options
  return Object.freeze({
    id, failureDomain, region, peerAddress, gateAddress, software, incarnation: 0, sequence: 0, state: 'alive', endpoints: Object.freeze([])
  })
}
