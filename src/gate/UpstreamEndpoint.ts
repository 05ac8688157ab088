/** One upstream on this VM: its state, slots, queue, connections, probe and requests in flight. */
import { Disposable } from '../common/Disposable.js'
import { addDuration, durationBetween } from '../common/Ids.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds, RouteName, Timestamp } from '../common/Types.js'
import type { IPoolResource } from '../documents/Types.js'
import type { IMembershipService } from '../membership/Services.js'
import type { EndpointState } from '../membership/Types.js'
import { AdmissionQueue, type Admission } from './AdmissionQueue.js'
import type { ICrashVictim } from './CrashGuard.js'
import { CrashWatch } from './CrashWatch.js'
import { ENDPOINT_STATE_CHANGED, UPSTREAM_CRASHED, UPSTREAM_UNREACHABLE } from './Events.js'
import { HealthProbe, type ProbeResult } from './HealthProbe.js'
import { ServiceTimeEstimate } from './ServiceTimeEstimate.js'
import type { IUpstreamSettings } from './Services.js'
import { SlotCounter } from './SlotCounter.js'
import { UPSTREAM_CRASHED_REASON, type ICall, type NotRunReason } from './Types.js'
import { UpstreamConnections, type UpstreamConnection } from './UpstreamConnections.js'
import type { ExchangeEnd, UpstreamExchange } from './UpstreamExchange.js'

/** What an endpoint needs. */
export interface IUpstreamEndpointOptions {
  readonly upstream: IUpstreamSettings
  readonly clock: IClockService
  readonly log: ILogService
  readonly membership: IMembershipService
  /** Time between two openings of connections. */
  readonly openInterval: Milliseconds
  readonly openTimeout: Milliseconds
  readonly onCrashed: (victims: readonly ICrashVictim[]) => void
}

/** Connections kept open beyond the slots: one for the probe. */
const SPARE_CONNECTIONS = 1
/** Failed probes in a row, without a whole answer meanwhile, after which the endpoint gets no calls. */
const FAILED_PROBES_LIMIT = 3
/** Share of the expected service time that must be left before the deadline for a request to start. */
const NEEDED_SHARE = 0.5

/** Runs requests in the slots of one upstream. */
export class UpstreamEndpoint extends Disposable {
  public readonly slots = new SlotCounter()
  public readonly connections: UpstreamConnections
  private readonly _options: IUpstreamEndpointOptions
  private readonly _queue: AdmissionQueue
  private readonly _probe: HealthProbe
  private readonly _crashes: CrashWatch<ICrashVictim>
  private readonly _estimates = new Map<RouteName, ServiceTimeEstimate>()
  private _state: EndpointState = 'warming'
  private _failedProbes = 0
  private _lastWholeAt = 0
  private _probeInterval = 0
  /** When the node's drain refuses new work; undefined if the node does not drain. */
  private _refusesAt: Timestamp | undefined
  private _idleListeners: Array<() => void> = []

  constructor (options: IUpstreamEndpointOptions) {
    super()
    this._options = options
    const { clock, upstream, openInterval, openTimeout } = options
    this._queue = new AdmissionQueue(this.slots, clock)
    this.connections = this.register(new UpstreamConnections({
      address: upstream.address, clock, openInterval, openTimeout, onUnreachable: () => { this._onUnreachable() }
    }))
    this._probe = this.register(new HealthProbe({
      connections: this.connections, clock, onResult: (result, now) => { this._onProbed(result, now) }
    }))
    this._crashes = new CrashWatch({ connections: this.connections, clock, onCrashed: (victims) => { this._onCrashed(victims) } })
  }

  public get state (): EndpointState {
    return this._state
  }

  /** Requests that wait for a slot. */
  public get queued (): number {
    return this._queue.length
  }

  /** True if a request would start at once. */
  public get hasFreeSlot (): boolean {
    return this._state === 'serving' && this._queue.length === 0 && this.slots.isFree(false)
  }

  /** Takes the limits of the document in force; announces the endpoint. */
  public configure (pool: IPoolResource, now: Timestamp): void {
    this._probeInterval = pool.healthInterval
    this._queue.resize({ length: pool.queue, timeout: pool.queueTimeout })
    this.connections.resize(pool.slots + SPARE_CONNECTIONS, pool.connections)
    if (this.slots.slots !== pool.slots) {
      this.slots.resize(pool.slots)
      this._announce(now)
      this._queue.grant(now)
    }
    this._probe.configure(pool.healthPath, pool.healthInterval)
  }

  /** Why no new request may come in or start now; undefined if one may. */
  public refusal (now: Timestamp): NotRunReason | undefined {
    if (this._refusesAt !== undefined && now >= this._refusesAt) return 'draining'
    if (this._state === 'serving') return undefined
    if (this._state === 'warming') return this._lastWholeAt === 0 ? 'not-ready' : 'unreachable'
    return this._refusesAt === undefined || this._state === 'left' ? 'draining' : undefined
  }

  /** Asks for a slot; a granted slot must be released. */
  public admit (call: ICall, isIsolated: boolean, now: Timestamp): Admission | Promise<Admission> {
    // The claim or the body of this call may have been waited for until after the drain.
    if (this._refusesAt !== undefined && now >= this._refusesAt) return 'draining'
    const expected = this._estimates.get(call.route)?.value(now) ?? 0
    const startBy = call.deadlineAt - expected * NEEDED_SHARE as Timestamp
    return this._queue.admit({ requestId: call.requestId, class: call.class, startBy, isIsolated }, now)
  }

  /** Takes a waiting request out; false if it does not wait. */
  public refuseWaiting (call: Pick<ICall, 'requestId'>, reason: NotRunReason): boolean {
    return this._queue.refuse(call.requestId, reason)
  }

  /** Gives a slot back. */
  public release (now: Timestamp): void {
    this._queue.release(now)
    this._notifyIfIdle(now)
  }

  /** Runs one exchange in a granted slot. */
  public async run (exchange: UpstreamExchange, connection: UpstreamConnection, isIsolated: boolean): Promise<ExchangeEnd> {
    const { clock } = this._options
    const startedAt = clock.now()
    const end = await exchange.run(connection)
    this.connections.release(connection, end.kind === 'whole' || (end.kind === 'not-started' && !end.isStale))
    if (end.kind === 'whole') this._onWhole(exchange.call.route, startedAt, clock.now())
    if (end.kind === 'cut' && end.isByUpstream && end.reason === 'connection-lost') {
      const isCrash = await this._crashes.onCut({ call: exchange.call, keptChunks: exchange.keptChunks, isIsolated })
      if (isCrash) return { ...end, reason: UPSTREAM_CRASHED_REASON }
    }
    return end
  }

  /** Announces that the endpoint leaves. New work is still taken for `notice`, while the others learn of it. */
  public startDrain (notice: Milliseconds, now: Timestamp): void {
    const refusesAt = addDuration(now, notice)
    this._refusesAt = refusesAt
    this._setState('draining', 'node stops', now)
    this._options.clock.after(notice, () => {
      this._queue.refuseAll('draining')
      // A timer may fire a moment before the clock, in whole milliseconds, has reached its time.
      this._notifyIfIdle(Math.max(this._options.clock.now(), refusesAt) as Timestamp)
    })
  }

  /** Resolves when the notice is over and nothing runs any more; the endpoint has then left. */
  public whenDrained (): Promise<void> {
    return new Promise((resolve) => {
      this._idleListeners.push(resolve)
      this._notifyIfIdle(this._options.clock.now())
    })
  }

  private _notifyIfIdle (now: Timestamp): void {
    if (this._refusesAt === undefined || now < this._refusesAt || this.slots.used > 0) return
    if (this._state !== 'left') this._setState('left', 'drained', now)
    const listeners = this._idleListeners
    this._idleListeners = []
    for (const listener of listeners) listener()
  }

  private _onWhole (route: RouteName, startedAt: Timestamp, now: Timestamp): void {
    this._lastWholeAt = now
    let estimate = this._estimates.get(route)
    if (estimate === undefined) {
      estimate = new ServiceTimeEstimate()
      this._estimates.set(route, estimate)
    }
    estimate.observe(durationBetween(startedAt, now), now)
  }

  private _onProbed (result: ProbeResult, now: Timestamp): void {
    if (this._refusesAt !== undefined) return
    if (result === 'healthy') {
      this._failedProbes = 0
      if (this._state !== 'serving') this._setState('serving', 'healthy', now)
      return
    }
    if (result === 'draining') {
      if (this._state === 'serving') this._setState('draining', 'upstream drains', now)
      return
    }
    this._failedProbes++
    // Whole answers prove more than a probe does.
    if (this._failedProbes < FAILED_PROBES_LIMIT || now - this._lastWholeAt < this._probeInterval) return
    if (this._state === 'serving') this._setState('warming', `probes ${result}`, now)
  }

  private _onUnreachable (): void {
    if (this.connections.open.size > 0 || this._state !== 'serving' || this._refusesAt !== undefined) return
    this._options.log.log(UPSTREAM_UNREACHABLE, { step: 'gate.connect', peer: this._options.upstream.address })
    this._setState('warming', 'unreachable', this._options.clock.now())
    this._queue.refuseAll('unreachable')
  }

  private _onCrashed (victims: readonly ICrashVictim[]): void {
    const { upstream, log, clock } = this._options
    log.log(UPSTREAM_CRASHED, { step: 'gate.exchange', peer: upstream.address, service: upstream.service, inFlight: victims.length })
    if (this._state === 'serving') {
      this._setState('warming', 'crashed', clock.now())
      this._queue.refuseAll('unreachable')
    }
    this._options.onCrashed(victims)
    this._probe.probeNow()
  }

  private _setState (state: EndpointState, reason: string, now: Timestamp): void {
    const { upstream, membership, log } = this._options
    this._state = state
    membership.setEndpointState(upstream.endpoint, state, now)
    log.log(ENDPOINT_STATE_CHANGED, { service: upstream.service, endpoint: upstream.endpoint, state, reason })
  }

  private _announce (now: Timestamp): void {
    const { upstream, membership } = this._options
    const { endpoint: id, service } = upstream
    membership.announceEndpoint({ id, service, state: this._state, slots: this.slots.slots, since: now }, now)
  }
}
