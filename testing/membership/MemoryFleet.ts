/** Nodes of a test, each with a complete membership stack, on one manual clock. */
import { createHash } from 'node:crypto'
import { MetricsService } from '../../src/common/MetricsService.js'
import { RandomService } from '../../src/common/RandomService.js'
import { MembershipStack, type IMembershipStackOptions } from '../../src/membership/MembershipStack.js'
import { ManualClock } from '../ManualClock.js'
import { RecordingLog } from '../RecordingLog.js'
import { CountingObjectStore } from './CountingObjectStore.js'
import { MemoryNetwork, type MemoryTransport } from './MemoryTransport.js'
import type { EndpointId, FailureDomain, Milliseconds, NetworkAddress, NodeId, Region, ServiceName } from '../../src/common/Types.js'
import type { INodeRecord } from '../../src/membership/Types.js'

/** Service with one endpoint on every node of the fleet. */
export const FLEET_SERVICE = 'status' as ServiceName

/** A running node. */
export interface IMemoryNode extends MembershipStack {
  readonly address: NetworkAddress
  readonly log: RecordingLog
  readonly transport: MemoryTransport
}

/** Failure domains `domain-0`, `domain-1` and so on, two to a region. */
export class MemoryFleet {
  public readonly clock = new ManualClock()
  public readonly network: MemoryNetwork
  public readonly store: CountingObjectStore
  public readonly nodes: IMemoryNode[] = []
  private readonly _random: RandomService
  private _created = 0

  constructor (private readonly _seed: number) {
    this._random = new RandomService(_seed)
    const latency = { minimum: 0.5, maximum: 8 }
    this.network = new MemoryNetwork({ clock: this.clock, random: this._random, latency, dialTimeout: 1_000 as Milliseconds })
    this.store = new CountingObjectStore(this.clock, 5)
  }

  /** Starts nodes in a failure domain without advancing the clock. */
  public async add (domain: number, count: number, options: Partial<IMembershipStackOptions> = {}): Promise<IMemoryNode[]> {
    const added: IMemoryNode[] = []
    for (let position = 0; position < count; position++) added.push(this._create(domain, this._createAddress(domain), options))
    await Promise.all(added.map((node) => node.start()))
    return added
  }

  /** Starts a new node at the address of a stopped one. */
  public async replace (stopped: IMemoryNode): Promise<IMemoryNode> {
    const node = this._create(domainNumber(stopped), stopped.address, {})
    await node.start()
    return node
  }

  /** Stops a node without an announcement; its connections are reset. */
  public async kill (node: IMemoryNode): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1)
    await node.transport.close()
    await node.stop()
  }

  /** Advances the clock until the condition holds. Returns the elapsed time, or undefined if the limit was reached first. */
  public async advanceUntil (holds: () => boolean, limit: number): Promise<number | undefined> {
    const start = this.clock.now()
    while (!holds()) {
      if (this.clock.now() - start >= limit) return undefined
      await this.clock.advance(50)
    }
    return this.clock.now() - start
  }

  /** Whether exactly the running nodes are alive in the view of every running node. */
  public areViewsEqual (nodes: readonly IMemoryNode[] = this.nodes): boolean {
    const expected = nodes.map((node) => node.membership.self.id).sort().join()
    return nodes.every((node) => aliveIds(node).join() === expected)
  }

  public async stop (): Promise<void> {
    const stopping = Promise.all(this.nodes.map((node) => node.stop()))
    await this.clock.advance(100)
    await stopping
  }

  private _create (domain: number, address: NetworkAddress, options: Partial<IMembershipStackOptions>): IMemoryNode {
    const failureDomain = `domain-${domain}` as FailureDomain
    const region = `region-${Math.floor(domain / 2)}` as Region
    const id = createHash('sha256').update(`${this._seed}/${this._created++}`).digest('hex').slice(0, 24) as NodeId
    const log = new RecordingLog()
    const transport = this.network.createTransport(address, failureDomain)
    const self = { id, failureDomain, region, peerAddress: address, gateAddress: address, software: 'test' }
    const random = new RandomService(this._random.integer(2 ** 32))
    const { clock, store: objects } = this
    const stack = new MembershipStack({ self, transport, objects, clock, random, log, metrics: new MetricsService(), ...options })
    const endpoint = { id: `${address}/0` as EndpointId, service: FLEET_SERVICE, state: 'serving' as const, slots: 9, since: clock.now() }
    stack.membership.announceEndpoint(endpoint, clock.now())
    const node = Object.assign(stack, { address, log, transport })
    this.nodes.push(node)
    return node
  }

  private _createAddress (domain: number): NetworkAddress {
    return `10.${domain}.${Math.floor(this._created / 256)}.${this._created % 256}:7000` as NetworkAddress
  }
}

/** Sorted ids of the members that are alive in the view of a node. */
export function aliveIds (node: IMemoryNode): readonly NodeId[] {
  return records(node).filter((record) => record.state === 'alive').map((record) => record.id).sort()
}

/** All records in the view of a node. */
export function records (node: IMemoryNode): readonly INodeRecord[] {
  return [...node.membership.members.values()]
}

function domainNumber (node: IMemoryNode): number {
  return Number(node.membership.self.failureDomain.slice('domain-'.length))
}
