/** Test fixture that runs many nodes in one process over real sockets, with latencies, platform faults, kills, pauses and partitions. */
import { ClockService } from '../../src/common/ClockService.js'
import { RandomService } from '../../src/common/RandomService.js'
import type { Milliseconds, ServiceName } from '../../src/common/Types.js'
import type { IControlPlaneOptions } from '../../src/distribution/ControlPlane.js'
import { IMembershipService } from '../../src/membership/Services.js'
import { writeDocument } from '../documents/DocumentText.js'
import { FaultyPlatform } from '../platform/FaultyPlatform.js'
import { FleetNode } from './FleetNode.js'
import { DEFAULT_FLEET_LATENCIES, domainName, FleetShape, regionOf, type IFleetLatencies } from './FleetShape.js'
import { RegionTraffic } from './RegionTraffic.js'
import { SharedParser } from './SharedParser.js'

/** Options of a fleet. */
export interface IFleetOptions {
  readonly seed: number
  /** Number of failure domains; each region has two. */
  readonly domains: number
  readonly latencies: IFleetLatencies
  /** Control plane settings of every node. */
  readonly controlPlane: Omit<IControlPlaneOptions, 'self'>
  /** Number of nodes that are started simultaneously. */
  readonly startGroupSize: number
  /** Kinds of messages that no node sends; used to measure baselines. */
  readonly suppressed: ReadonlySet<string>
  /** Platform shared with nodes outside this fleet; by default, the fleet creates its own. */
  readonly platform?: FaultyPlatform
}

/** Defaults of `Fleet`. */
export const DEFAULT_FLEET_OPTIONS: IFleetOptions = Object.freeze({
  seed: 1, domains: 6, latencies: DEFAULT_FLEET_LATENCIES, controlPlane: {}, startGroupSize: 12, suppressed: new Set<string>()
})

/** One-way latencies in a round trip to the store, which is in the first region. */
const STORE_LATENCY_FACTOR = 2

/** Pools of each generated document, which has one route to each pool. */
const TEXT_POOLS = Array.from({ length: 13 }, (_, position) => `pool-${position}`)

/** Timeout for a group of nodes to settle before the next group starts. */
const GROUP_SETTLE_TIMEOUT_MS = 20_000

const POLL_MS = 5 as Milliseconds

/** Owns the nodes, their simulated network conditions and their platform. */
export class Fleet {
  public readonly clock = new ClockService()
  public readonly random: RandomService
  public readonly shape: FleetShape
  public readonly traffic = new RegionTraffic()
  public readonly platform: FaultyPlatform
  public readonly nodes: FleetNode[] = []
  /** Invariant breaches on nodes that have been stopped. */
  private _stoppedNodeBreaches = 0
  private readonly _options: IFleetOptions
  /** Connection of each failure domain to the platform. */
  private readonly _platformConnections: ReadonlyArray<ReturnType<FaultyPlatform['connect']>>
  private readonly _parser = new SharedParser()
  private _submissions = 0

  constructor (options: Partial<IFleetOptions> = {}) {
    this._options = { ...DEFAULT_FLEET_OPTIONS, ...options }
    this.random = new RandomService(this._options.seed)
    this.shape = new FleetShape(this._options.latencies)
    this.platform = this._options.platform ?? new FaultyPlatform({ clock: this.clock, random: this.random })
    this._platformConnections = Array.from({ length: this._options.domains }, () => this.platform.connect())
    this.healStore()
  }

  public get domains (): number {
    return this._options.domains
  }

  /** Faults on the connection of each failure domain to the platform. */
  public get storeFaults (): ReadonlyArray<FaultyPlatform['faults']> {
    return this._platformConnections.map((connection) => connection.faults)
  }

  /**
   * Starts `count` nodes, spread evenly over the failure domains. Each group settles before the next one starts:
   * all nodes share one processor, and 96 simultaneous joins delay the heartbeats of every node.
   */
  public async add (count: number, service?: (position: number) => ServiceName): Promise<void> {
    for (let first = 0; first < count; first += this._options.startGroupSize) {
      const size = Math.min(this._options.startGroupSize, count - first)
      const positions = Array.from({ length: size }, (_, offset) => first + offset)
      await Promise.all(positions.map((position) => this.addTo(position % this.domains, service?.(position))))
      await this.until(() => this.isSettled, GROUP_SETTLE_TIMEOUT_MS)
    }
  }

  /** Starts one node in a failure domain. */
  public async addTo (domain: number, service?: ServiceName, controlPlane = this._options.controlPlane): Promise<FleetNode> {
    const node = new FleetNode({
      failureDomain: domainName(domain),
      region: regionOf(domain),
      seed: this.random.integer(2 ** 31),
      shape: this.shape,
      traffic: this.traffic,
      platform: this._platformConnections[domain],
      parser: this._parser,
      controlPlane,
      service,
      suppressed: this._options.suppressed
    })
    this.nodes.push(node)
    await node.start()
    return node
  }

  /** Simulates the crash of a process: the node stops without notifying its peers. */
  public async kill (node: FleetNode): Promise<void> {
    this._remove(node)
    await node.kill()
  }

  /** Stops a node gracefully: it announces that it leaves. */
  public async stopNode (node: FleetNode): Promise<void> {
    this._remove(node)
    await node.stop()
  }

  /** Starts a new node that replaces a stopped one, in the same failure domain and with the same service. */
  public restart (stopped: FleetNode): Promise<FleetNode> {
    return this.addTo(Number(stopped.options.failureDomain.slice('domain-'.length)), stopped.options.service)
  }

  /** Partitions a failure domain from all others. */
  public cutDomain (domain: number): void {
    for (let other = 0; other < this.domains; other++) {
      if (other !== domain) this.shape.cut(domainName(domain), domainName(other))
    }
  }

  /** Makes the platform unreachable from a failure domain. */
  public cutStore (domain: number): void {
    this._platformConnections[domain].faults.set({ isDown: true })
  }

  /** Clears all faults of the platform connections and restores the latency between each region and the store. */
  public healStore (): void {
    this._platformConnections.forEach((connection, domain) => {
      connection.faults.clear()
      const oneWay = regionOf(domain) === regionOf(0) ? this._options.latencies.betweenDomains : this._options.latencies.betweenRegions
      connection.faults.set({ delay: oneWay * STORE_LATENCY_FACTOR as Milliseconds })
    })
  }

  /** Heals all partitions and clears all faults of the platform connections. */
  public heal (): void {
    this.shape.healAll()
    this.healStore()
  }

  /** Submits a new text of a service through a node; returns the accepted version, or undefined if it was not accepted. */
  public async submit (node: FleetNode, service: string, expected: number, isReplyLost = false): Promise<number | undefined> {
    const draft = { id: this.createSubmissionId(), service, expected, text: this.createText(service) }
    const outcome = await node.submit(draft, isReplyLost)
    return outcome.kind === 'accepted' ? outcome.change.version : undefined
  }

  public createSubmissionId (): string {
    this._submissions++
    return `fleet-${this._options.seed}-${this._submissions}`
  }

  /** Creates a unique, valid document text of about 2.5 KB. */
  public createText (service: string): string {
    const targets = TEXT_POOLS.map((pool) => `${service}/${pool}`)
    return writeDocument({ service, pools: TEXT_POOLS, targets, note: `${this.random.integer(2 ** 31)}` })
  }

  /** Waits until the condition is met; returns the elapsed time, or undefined after a timeout. */
  public async until (isMet: () => boolean, timeoutMs: number): Promise<Milliseconds | undefined> {
    const start = performance.now()
    while (!isMet()) {
      if (performance.now() - start >= timeoutMs) return undefined
      await this.clock.sleep(POLL_MS)
    }
    return performance.now() - start as Milliseconds
  }

  /** Whether every node sees all nodes as alive and has caught up. */
  public get isSettled (): boolean {
    return this.nodes.every((node) => node.isCaughtUp && this._countAlive(node) === this.nodes.length)
  }

  /** Whether all nodes store the same document versions. */
  public get hasSameVersions (): boolean {
    return new Set(this.nodes.map((node) => node.heldDigest)).size <= 1
  }

  /** Invariant breaches on all nodes, including stopped ones. */
  public get breaches (): number {
    return this.nodes.reduce((sum, node) => sum + node.invariants.breaches, this._stoppedNodeBreaches)
  }

  /** Kills all nodes and releases their sockets. */
  public async stop (): Promise<void> {
    await Promise.all([...this.nodes].map((node) => this.kill(node)))
  }

  private _remove (node: FleetNode): void {
    const position = this.nodes.indexOf(node)
    if (position >= 0) this.nodes.splice(position, 1)
    this._stoppedNodeBreaches += node.invariants.breaches
  }

  private _countAlive (node: FleetNode): number {
    let alive = 0
    for (const member of node.get(IMembershipService).members.values()) if (member.state === 'alive') alive++
    return alive
  }
}
