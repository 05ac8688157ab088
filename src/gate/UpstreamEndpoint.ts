/** An upstream on this VM: its state, slots, queue, connections, health probe and requests in flight. */
import { Disposable } from '../common/Disposable.js'
import { addDuration, durationBetween } from '../common/Ids.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds, RouteName, Timestamp } from '../common/Types.js'
import type { IPoolResource } from '../documents/Types.js'
import type { IMembershipService } from '../membership/Services.js'
import type { EndpointState } from '../membership/Types.js'
import { AdmissionQueue, type Admission } from './AdmissionQueue.js'
import type { ILostExchange } from './CrashGuard.js'
import { CrashDetector } from './CrashDetector.js'
import { ENDPOINT_STATE_CHANGED, UPSTREAM_CRASHED, UPSTREAM_UNREACHABLE } from './Events.js'
import { HealthProbe, type ProbeResult } from './HealthProbe.js'
import { ServiceTimeEstimate } from './ServiceTimeEstimate.js'
import type { IUpstreamSettings } from './Services.js'
import { SlotCounter } from './SlotCounter.js'
import { UPSTREAM_CRASHED_REASON, type ICall, type NotRunReason } from './Types.js'
import { UpstreamConnections, type UpstreamConnection } from './UpstreamConnections.js'
import type { ExchangeEnd, UpstreamExchange } from './UpstreamExchange.js'

/** Options of `UpstreamEndpoint`. */
export interface IUpstreamEndpointOptions {
  readonly upstream: IUpstreamSettings
  readonly clock: IClockService
  readonly log: ILogService
  readonly membership: IMembershipService
  /** Minimum time between two connection attempts. */
  readonly openInterval: Milliseconds
  readonly openTimeout: Milliseconds
  readonly onCrashed: (lostExchanges: readonly ILostExchange[]) => void
}

/** Connections kept open in addition to one for each slot: one for the health probe. */
const SPARE_CONNECTIONS = 1
/** Number of consecutive failed probes, without a complete response in between, after which the endpoint receives no calls. */
const FAILED_PROBES_THRESHOLD = 3
/** Share of the expected service time that must remain until the deadline for a request to start. */
const REQUIRED_SERVICE_TIME_SHARE = 0.5

/** Runs requests in the slots of one upstream. */
export class UpstreamEndpoint extends Disposable {
  public readonly slots = new SlotCounter()
  public readonly connections: UpstreamConnections
  private readonly _options: IUpstreamEndpointOptions
  private readonly _queue: AdmissionQueue
  private readonly _probe: HealthProbe
  private readonly _crashDetector: CrashDetector<ILostExchange>
  private readonly _estimates = new Map<RouteName, ServiceTimeEstimate>()
  private _state: EndpointState = 'warming'
  private _failedProbes = 0
  private _lastCompletedAt = 0
  private _probeInterval = 0
  /** Time from which new requests are refused because the node is draining; undefined if it is not. */
  private _refusesNewWorkAt: Timestamp | undefined
  private _drainedListeners: Array<() => void> = []

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
    this._crashDetector = new CrashDetector({ connections: this.connections, clock, onCrashed: (lost) => { this._onCrashed(lost) } })
  }

  public get state (): EndpointState {
    return this._state
  }

  /** Number of requests queued for a slot. */
  public get queued (): number {
    return this._queue.length
  }

  /** True if a request would start immediately. */
  public get hasFreeSlot (): boolean {
    return this._state === 'serving' && this._queue.length === 0 && this.slots.isFree(false)
  }

  /** Applies the limits of the active document and announces the endpoint. */
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

  /** Reason why no request can be accepted or started now; undefined if it can. */
  public refusal (now: Timestamp): NotRunReason | undefined {
    if (this._refusesNewWorkAt !== undefined && now >= this._refusesNewWorkAt) return 'draining'
    if (this._state === 'serving') return undefined
    if (this._state === 'warming') return this._lastCompletedAt === 0 ? 'not-ready' : 'unreachable'
    return this._refusesNewWorkAt === undefined || this._state === 'left' ? 'draining' : undefined
  }

  /** Requests a slot; a granted slot must be released. */
  public admit (call: ICall, isIsolated: boolean, now: Timestamp): Admission | Promise<Admission> {
    // The call may have waited for its claim or its body until after the drain.
    if (this._refusesNewWorkAt !== undefined && now >= this._refusesNewWorkAt) return 'draining'
    const expected = this._estimates.get(call.route)?.value(now) ?? 0
    const startBy = call.deadlineAt - expected * REQUIRED_SERVICE_TIME_SHARE as Timestamp
    return this._queue.admit({ requestId: call.requestId, class: call.class, startBy, isIsolated }, now)
  }

  /** Removes a request from the queue and refuses it; false if it is not queued. */
  public refuseQueued (call: Pick<ICall, 'requestId'>, reason: NotRunReason): boolean {
    return this._queue.refuse(call.requestId, reason)
  }

  /** Releases a slot. */
  public release (now: Timestamp): void {
    this._queue.release(now)
    this._finishDrainIfIdle(now)
  }

  /** Runs an exchange in a granted slot. */
  public async run (exchange: UpstreamExchange, connection: UpstreamConnection, isIsolated: boolean): Promise<ExchangeEnd> {
    const { clock } = this._options
    const startedAt = clock.now()
    const end = await exchange.run(connection)
    this.connections.release(connection, end.kind === 'whole' || (end.kind === 'not-started' && !end.isStale))
    if (end.kind === 'whole') this._onCompleted(exchange.call.route, startedAt, clock.now())
    if (end.kind === 'cut' && end.isByUpstream && end.reason === 'connection-lost') {
      const isCrash = await this._crashDetector.recordLostExchange({
        call: exchange.call, bodyStart: exchange.bodyStart, isIsolated
      })
      if (isCrash) return { ...end, reason: UPSTREAM_CRASHED_REASON }
    }
    return end
  }

  /** Announces that the endpoint is draining. Requests are still accepted for `notice`, while the other nodes learn of the drain. */
  public startDrain (notice: Milliseconds, now: Timestamp): void {
    const refusesAt = addDuration(now, notice)
    this._refusesNewWorkAt = refusesAt
    this._setState('draining', 'node stops', now)
    this._options.clock.after(notice, () => {
      this._queue.refuseAll('draining')
      // A timer may fire slightly before the clock, which has a resolution of one millisecond, reaches the time of the timer.
      this._finishDrainIfIdle(Math.max(this._options.clock.now(), refusesAt) as Timestamp)
    })
  }

  /** Resolves when the notice period is over and no request is running; the state of the endpoint is then `left`. */
  public whenDrained (): Promise<void> {
    return new Promise((resolve) => {
      this._drainedListeners.push(resolve)
      this._finishDrainIfIdle(this._options.clock.now())
    })
  }

  private _finishDrainIfIdle (now: Timestamp): void {
    if (this._refusesNewWorkAt === undefined || now < this._refusesNewWorkAt || this.slots.used > 0) return
    if (this._state !== 'left') this._setState('left', 'drained', now)
    const listeners = this._drainedListeners
    this._drainedListeners = []
    for (const listener of listeners) listener()
  }

  private _onCompleted (route: RouteName, startedAt: Timestamp, now: Timestamp): void {
    this._lastCompletedAt = now
    let estimate = this._estimates.get(route)
    if (estimate === undefined) {
      estimate = new ServiceTimeEstimate()
      this._estimates.set(route, estimate)
    }
    estimate.observe(durationBetween(startedAt, now), now)
  }

  private _onProbed (result: ProbeResult, now: Timestamp): void {
    if (this._refusesNewWorkAt !== undefined) return
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
    // A complete response within the last probe interval shows that the upstream works, even if its probes fail.
    if (this._failedProbes < FAILED_PROBES_THRESHOLD || now - this._lastCompletedAt < this._probeInterval) return
    if (this._state === 'serving') this._setState('warming', `probes ${result}`, now)
  }

  private _onUnreachable (): void {
    if (this.connections.open.size > 0 || this._state !== 'serving' || this._refusesNewWorkAt !== undefined) return
    this._options.log.log(UPSTREAM_UNREACHABLE, { step: 'gate.connect', peer: this._options.upstream.address })
    this._setState('warming', 'unreachable', this._options.clock.now())
    this._queue.refuseAll('unreachable')
  }

  private _onCrashed (lostExchanges: readonly ILostExchange[]): void {
    const { upstream, log, clock } = this._options
    log.log(UPSTREAM_CRASHED, { step: 'gate.exchange', peer: upstream.address, service: upstream.service, inFlight: lostExchanges.length })
    if (this._state === 'serving') {
      this._setState('warming', 'crashed', clock.now())
      this._queue.refuseAll('unreachable')
    }
    this._options.onCrashed(lostExchanges)
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
