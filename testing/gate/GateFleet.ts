/** Several gates, each with a stand-in upstream, behind one router in one process. Only the connections to the upstreams use sockets. */
import { ClockService } from '../../src/common/ClockService.js'
import { Emitter } from '../../src/common/Emitter.js'
import { RandomService } from '../../src/common/RandomService.js'
import type { EndpointId, Milliseconds, NetworkAddress, NodeId, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { CallOutcome, IAnswerSink } from '../../src/gate/Types.js'
import type { IRoutableEndpoint } from '../../src/membership/Types.js'
import { RouterService } from '../../src/routing/RouterService.js'
import type { IRemoteGates } from '../../src/routing/Types.js'
import { FakeSnapshots, createFakeDocument } from './FakeSnapshots.js'
import { GateRig, type IGateRigOptions } from './GateRig.js'

/** Options of `GateFleet`. */
export interface IGateFleetOptions {
  readonly seed: number
  readonly gates: number
  readonly rig: Partial<IGateRigOptions>
  /** Delay until the router receives a state that a gate announced. */
  readonly announcementDelayMs: number
}

/** Result of a call as observed by the caller. */
export interface IFleetResult {
  readonly outcome: CallOutcome
  readonly durationMs: number
}

/** Gates that can be replaced while calls are in flight. */
export class GateFleet {
  public readonly rigs: GateRig[] = []
  public readonly router: RouterService
  private readonly _options: IGateFleetOptions
  private readonly _snapshots: FakeSnapshots
  private readonly _onEndpointsChanged = new Emitter<ReadonlySet<ServiceName>>()
  private readonly _service: ServiceName
  private _endpoints: readonly IRoutableEndpoint[] = []
  /** Gates that are no longer announced but may still receive calls. */
  private readonly _retired: GateRig[] = []
  private _created = 0
  private readonly _refreshTimer: NodeJS.Timeout

  constructor (options: IGateFleetOptions) {
    this._options = options
    this._service = (options.rig.document?.service ?? 'status') as ServiceName
    this._snapshots = new FakeSnapshots([createFakeDocument(options.rig.document)])
    const sample = new GateRig(options.rig)
    this.router = new RouterService({
      snapshots: this._snapshots,
      membership: { endpoints: () => this._endpoints, onEndpointsChanged: this._onEndpointsChanged.event },
      remoteGates: this._remoteGates(),
      location: sample.membership.self,
      clock: new ClockService(),
      random: new RandomService(options.seed),
      log: sample.log,
      metrics: sample.metrics,
      invariants: sample.invariants
    })
    this._refreshTimer = setInterval(() => { this._refresh() }, 5)
  }

  public async start (): Promise<this> {
    for (let number = 0; number < this._options.gates; number++) this.rigs.push(await this.createRig())
    await new Promise((resolve) => { setTimeout(resolve, this._options.announcementDelayMs + 50) })
    return this
  }

  /** Starts an additional gate with its own upstream. */
  public async createRig (): Promise<GateRig> {
    this._created++
    return await new GateRig({ ...this._options.rig, name: `node-${this._created}` }).start()
  }

  public async stop (): Promise<void> {
    clearInterval(this._refreshTimer)
    await this.router.stop()
    await Promise.all(this.rigs.map((rig) => rig.stop()))
  }

  /** Replaces `rig` with another gate. */
  public replace (rig: GateRig, successor: GateRig): void {
    this.rigs.splice(this.rigs.indexOf(rig), 1, successor)
    this._retired.push(rig)
  }

  /** All gates, including replaced ones. */
  public get all (): readonly GateRig[] {
    return [...this.rigs, ...this._retired]
  }

  /** Number of invariant breaches at all gates. */
  public get breaches (): number {
    return this.all.reduce((sum, rig) => sum + rig.invariants.breaches, 0)
  }

  /** Sends one call without a body through the router. */
  public async call (path: string, headers: Record<string, string> = {}): Promise<IFleetResult> {
    const startedAt = performance.now()
    const request = {
      service: this._service,
      method: 'GET',
      path,
      headers,
      body: undefined,
      bodyBytes: undefined,
      onCancelled: () => ({ dispose: () => {} }),
      isCancelled: false
    }
    const outcome = await this.router.route(request, createDiscardingSink(), Date.now() as Timestamp)
    return { outcome, durationMs: performance.now() - startedAt }
  }

  /** Updates the endpoints that the router knows, according to the announcement delay. */
  private _refresh (): void {
    const announcedUntil = Date.now() - this._options.announcementDelayMs
    const endpoints = this.rigs.filter(({ membership }) => membership.stateAt(announcedUntil) === 'serving').map((rig) => this._describe(rig))
    const isSame = endpoints.length === this._endpoints.length && endpoints.every(({ id }, index) => id === this._endpoints[index]?.id)
    if (isSame) return
    this._endpoints = endpoints
    this._onEndpointsChanged.fire(new Set([this._service]))
  }

  private _describe (rig: GateRig): IRoutableEndpoint {
    const { id, failureDomain, region } = rig.membership.self
    return {
      id: id as string as EndpointId,
      service: this._service,
      state: 'serving',
      slots: rig.gate.occupancy(this._service)?.slots ?? 0,
      since: 0 as Timestamp,
      failureDomain,
      region,
      node: id,
      gateAddress: '127.0.0.1:1' as NetworkAddress,
      isReachable: true
    }
  }

  private _remoteGates (): IRemoteGates {
    const find = (node: NodeId): GateRig => this.all.find((rig) => rig.membership.self.id === node) as GateRig
    return {
      target: ({ node }) => find(node).gate,
      warm: () => {},
      retain: () => {},
      close: async () => {},
      dispose: () => {}
    }
  }
}

/** Creates a sink that discards the response. */
export function createDiscardingSink (): IAnswerSink {
  let hasBegun = false
  return {
    get hasBegun () { return hasBegun },
    onDrained: () => ({ dispose: () => {} }),
    begin: () => { hasBegun = true },
    write: () => true,
    end: () => {},
    abort: () => {}
  }
}

export function pause (duration: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, duration as Milliseconds) })
}

/** Quantile of the samples; 0 without samples. */
export function quantile (samples: readonly number[], share: number): number {
  const sorted = [...samples].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Starts actions as a Poisson process with the given rate (per second) for a duration; resolves when the last one has been started. */
export async function startAtRate (rate: number, durationMs: number, random: RandomService, action: () => void): Promise<void> {
  const startedAt = performance.now()
  let next = startedAt
  while (next < startedAt + durationMs) {
    next += -Math.log(1 - random.fraction()) * 1_000 / rate
    const wait = next - performance.now()
    if (wait > 1) await pause(wait)
    action()
  }
}
