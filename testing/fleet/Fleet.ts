/** Many nodes in one process over real sockets, with latencies, faults of the platform, kills, pauses and cuts. */
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
  /** Failure domains, two to a region. */
  readonly domains: number
  readonly latencies: IFleetLatencies
  /** Settings of every node. */
  readonly controlPlane: Omit<IControlPlaneOptions, 'self'>
  /** Nodes that are started at the same time. */
  readonly startedTogether: number
  /** Kinds of messages that no node sends, for comparisons. */
  readonly suppressed: ReadonlySet<string>
  /** A platform that others use too; an own one by default. */
  readonly platform?: FaultyPlatform
}

/** Defaults of `Fleet`. */
export const DEFAULT_FLEET_OPTIONS: IFleetOptions = Object.freeze({
  seed: 1, domains: 6, latencies: DEFAULT_FLEET_LATENCIES, controlPlane: {}, startedTogether: 12, suppressed: new Set<string>()
})

/** One-way latency from each region to the store, which is in the first region. */
const STORE_LATENCY_FACTOR = 2

/** Pools of each text, with a route to each. */
const TEXT_POOLS = Array.from({ length: 13 }, (_, position) => `pool-${position}`)

/** Longest wait for a group of nodes to settle before the next group starts. */
const GROUP_SETTLE_LIMIT_MS = 20_000

const POLL_MS = 5 as Milliseconds

/** The nodes, their network and their platform. */
export class Fleet {
  public readonly clock = new ClockService()
  public readonly random: RandomService
  public readonly shape: FleetShape
  public readonly traffic = new RegionTraffic()
  public readonly platform: FaultyPlatform
  public readonly nodes: FleetNode[] = []
  /** Breaches of invariants on nodes that have ended. */
  private _endedBreaches = 0
  private readonly _options: IFleetOptions
  /** The way of each failure domain to the platform. */
  private readonly _ways: ReadonlyArray<ReturnType<FaultyPlatform['connect']>>
  private readonly _parser = new SharedParser()
  private _submissions = 0

  constructor (options: Partial<IFleetOptions> = {}) {
    this._options = { ...DEFAULT_FLEET_OPTIONS, ...options }
    this.random = new RandomService(this._options.seed)
    this.shape = new FleetShape(this._options.latencies)
    this.platform = this._options.platform ?? new FaultyPlatform({ clock: this.clock, random: this.random })
    this._ways = Array.from({ length: this._options.domains }, () => this.platform.connect())
    this.healStore()
  }

  public get domains (): number {
    return this._options.domains
  }

  /** Faults of the way of each failure domain to the platform. */
  public get storeFaults (): ReadonlyArray<FaultyPlatform['faults']> {
    return this._ways.map((way) => way.faults)
  }

  /**
   * Starts `count` nodes, spread evenly over the failure domains. Each group settles before the next one starts:
   * all nodes share one processor, and 96 joins at once starve the heartbeats of everyone.
   */
  public async add (count: number, service?: (position: number) => ServiceName): Promise<void> {
    for (let first = 0; first < count; first += this._options.startedTogether) {
      const size = Math.min(this._options.startedTogether, count - first)
      const positions = Array.from({ length: size }, (_, offset) => first + offset)
      await Promise.all(positions.map((position) => this.addTo(position % this.domains, service?.(position))))
      await this.until(() => this.isSettled, GROUP_SETTLE_LIMIT_MS)
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
      platform: this._ways[domain],
      parser: this._parser,
      controlPlane,
      service,
      suppressed: this._options.suppressed
    })
    this.nodes.push(node)
    await node.start()
    return node
  }

  /** Ends a process without a word. */
  public async kill (node: FleetNode): Promise<void> {
    this._remove(node)
    await node.kill()
  }

  /** Ends a process gracefully. */
  public async stopNode (node: FleetNode): Promise<void> {
    this._remove(node)
    await node.stop()
  }

  /** A new process in the place of one that ended. */
  public restart (gone: FleetNode): Promise<FleetNode> {
    return this.addTo(Number(gone.options.failureDomain.slice('domain-'.length)), gone.options.service)
  }

  /** Cuts a failure domain off from all others. */
  public cutDomain (domain: number): void {
    for (let other = 0; other < this.domains; other++) {
      if (other !== domain) this.shape.cut(domainName(domain), domainName(other))
    }
  }

  /** Cuts a failure domain off from the platform. */
  public cutStore (domain: number): void {
    this._ways[domain].faults.set({ isDown: true })
  }

  /** The platform answers every failure domain again, with the latency of the domain's region. */
  public healStore (): void {
    this._ways.forEach((way, domain) => {
      way.faults.clear()
      const oneWay = regionOf(domain) === regionOf(0) ? this._options.latencies.betweenDomains : this._options.latencies.betweenRegions
      way.faults.set({ delay: oneWay * STORE_LATENCY_FACTOR as Milliseconds })
    })
  }

  /** Ends every cut and every fault of the platform. */
  public heal (): void {
    this.shape.healAll()
    this.healStore()
  }

  /** Submits a new text of a service through a node; the version that was accepted, or undefined. */
  public async submit (node: FleetNode, service: string, expected: number, isAnswerLost = false): Promise<number | undefined> {
    const draft = { id: this.createSubmissionId(), service, expected, text: this.createText(service) }
    const outcome = await node.submit(draft, isAnswerLost)
    return outcome.kind === 'accepted' ? outcome.change.version : undefined
  }

  public createSubmissionId (): string {
    this._submissions++
    return `fleet-${this._options.seed}-${this._submissions}`
  }

  /** A valid text of about 2.5 KB that no other submission has. */
  public createText (service: string): string {
    const targets = TEXT_POOLS.map((pool) => `${service}/${pool}`)
    return writeDocument({ service, pools: TEXT_POOLS, targets, note: `${this.random.integer(2 ** 31)}` })
  }

  /** Waits until the condition holds; the time it took, or undefined if it did not hold in time. */
  public async until (holds: () => boolean, limit: number): Promise<Milliseconds | undefined> {
    const start = performance.now()
    while (!holds()) {
      if (performance.now() - start >= limit) return undefined
      await this.clock.sleep(POLL_MS)
    }
    return performance.now() - start as Milliseconds
  }

  /** Whether every node holds every other one as alive and has caught up. */
  public get isSettled (): boolean {
    return this.nodes.every((node) => node.isCaughtUp && this._countAlive(node) === this.nodes.length)
  }

  /** Whether all nodes hold the same versions. */
  public get agrees (): boolean {
    return new Set(this.nodes.map((node) => node.heldDigest)).size <= 1
  }

  /** Breaches of invariants on all nodes, also on those that have ended. */
  public get breaches (): number {
    return this.nodes.reduce((sum, node) => sum + node.invariants.breaches, this._endedBreaches)
  }

  /** Ends all nodes and releases their sockets. */
  public async stop (): Promise<void> {
    await Promise.all([...this.nodes].map((node) => this.kill(node)))
  }

  private _remove (node: FleetNode): void {
    const position = this.nodes.indexOf(node)
    if (position >= 0) this.nodes.splice(position, 1)
    this._endedBreaches += node.invariants.breaches
  }

  private _countAlive (node: FleetNode): number {
    let alive = 0
    for (const member of node.get(IMembershipService).members.values()) if (member.state === 'alive') alive++
    return alive
  }
}
