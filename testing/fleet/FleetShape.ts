/** Latencies and partitions between the failure domains of a fleet. */
import type { FailureDomain, Milliseconds, NetworkAddress, Region } from '../../src/common/Types.js'
import type { INetworkShape } from '../membership/ShapedTransport.js'

/** One-way latencies. */
export interface IFleetLatencies {
  readonly sameDomain: Milliseconds
  readonly betweenDomains: Milliseconds
  readonly betweenRegions: Milliseconds
}

/** Latencies of the deployment of Tsagaan. */
export const DEFAULT_FLEET_LATENCIES: IFleetLatencies = Object.freeze({
  sameDomain: 0 as Milliseconds,
  betweenDomains: 0.5 as Milliseconds,
  betweenRegions: 8 as Milliseconds
})

/** Region of a failure domain; each region has two failure domains. */
export function regionOf (domain: number): Region {
  return `region-${Math.floor(domain / 2)}` as Region
}

/** Name of a failure domain. */
export function domainName (domain: number): FailureDomain {
  return `domain-${domain}` as FailureDomain
}

/** Simulated network conditions, shared by all nodes of a fleet. */
export class FleetShape implements INetworkShape {
  /** Failure domain of each node's peer address. */
  public readonly domains = new Map<NetworkAddress, FailureDomain>()
  private readonly _cuts = new Set<string>()

  constructor (private readonly _latencies: IFleetLatencies) {}

  public domainOf (address: NetworkAddress): FailureDomain | undefined {
    return this.domains.get(address)
  }

  public latency (from: FailureDomain, to: FailureDomain): Milliseconds {
    if (from === to) return this._latencies.sameDomain
    const isSameRegion = regionOfName(from) === regionOfName(to)
    return isSameRegion ? this._latencies.betweenDomains : this._latencies.betweenRegions
  }

  public isCut (from: FailureDomain, to: FailureDomain): boolean {
    return this._cuts.has(pairOf(from, to))
  }

  public cut (from: FailureDomain, to: FailureDomain): void {
    this._cuts.add(pairOf(from, to))
  }

  public healAll (): void {
    this._cuts.clear()
  }
}

function regionOfName (domain: FailureDomain): Region {
  return regionOf(Number(domain.slice('domain-'.length)))
}

function pairOf (from: FailureDomain, to: FailureDomain): string {
  return [from, to].sort().join(' ')
}
