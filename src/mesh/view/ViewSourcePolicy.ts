/** Selects the node whose view this node follows, or decides that it reads the store itself. */
import type { IRandomService } from '../../common/Services.js'
import type { NetworkAddress, Region, Timestamp } from '../../common/Types.js'
import { RedialBackoff } from '../../membership/RedialBackoff.js'
import { Rendezvous } from '../../membership/Rendezvous.js'
import type { Milliseconds } from '../../common/Types.js'
import type { INodeIdentity } from '../Services.js'
import type { IKnownNode, NodeName } from '../Types.js'

/** A node from which the view may be requested. */
export interface IViewSource {
  readonly name: NodeName
  readonly address: NetworkAddress
  /** True for a node that ranks above this one; others are fallbacks for when the store cannot be read. */
  readonly isPreferred: boolean
  /** True if only the address is known; `name` then contains the address as well. */
  readonly isAddressOnly?: boolean
}

/** State, besides the known nodes, on which the selection of a source depends. */
export interface ISelectionState {
  /** True if this node has had no current view for some time although it tries to read the store. */
  readonly isStoreUnavailable: boolean
  /** Returns true for a node to which a link is open. */
  readonly isLinked: (node: NodeName) => boolean
}

/** Number of nodes of a region that are ranked as readers; the second one follows the first and replaces it when it fails. */
const READERS_IN_REGION = 2
const MINIMUM_REDIAL_MS = 500 as Milliseconds
const MAXIMUM_REDIAL_MS = 4_000 as Milliseconds
/** Bounds of the pause after any fallback failed. A pause per node would not limit the attempts: with many nodes, one is always untried. */
const MINIMUM_FALLBACK_DELAY_MS = 200 as Milliseconds
const MAXIMUM_FALLBACK_DELAY_MS = 1_500 as Milliseconds
const FALLBACK_KEY = 'substitute'

/** Ranking of the nodes of a region as readers of the store; every node computes the same ranking. */
export function createReaderRanking (region: Region): Rendezvous<NodeName> {
  return new Rendezvous<NodeName>(`view-reader ${region}`)
}

/**
 * All nodes of a region compute the same ranking. The first node reads the store and the others follow it, so that the number of
 * calls to the store grows with regions and changes, not with nodes. If nodes disagree on the ranking, the store is read twice at most.
 */
export class ViewSourcePolicy {
  private readonly _rankings = new Map<Region, Rendezvous<NodeName>>()
  private readonly _nodeBackoff: RedialBackoff<NodeName>
  private readonly _fallbackBackoff: RedialBackoff<typeof FALLBACK_KEY>
  private _suggestedAddress: NetworkAddress | undefined
  private _offeringNode: NodeName | undefined

  constructor (private readonly _self: INodeIdentity, private readonly _random: IRandomService) {
    this._nodeBackoff = new RedialBackoff<NodeName>({
      random: _random, redialDelay: MINIMUM_REDIAL_MS, maximumRedialDelay: MAXIMUM_REDIAL_MS
    })
    this._fallbackBackoff = new RedialBackoff<typeof FALLBACK_KEY>({
      random: _random, redialDelay: MINIMUM_FALLBACK_DELAY_MS, maximumRedialDelay: MAXIMUM_FALLBACK_DELAY_MS
    })
  }

  /** Selects a source to which a link should be opened now; undefined if there is none. */
  public choose (nodes: ReadonlyMap<NodeName, IKnownNode>, state: ISelectionState, now: Timestamp): IViewSource | undefined {
    const preferred = this._choosePreferred(nodes, state, now)
    if (preferred !== undefined) return { name: preferred.node, address: preferred.peerAddress, isPreferred: true }
    if (!state.isStoreUnavailable) return undefined
    const offering = this._consumeOffer(nodes, state)
    if (offering !== undefined) return { name: offering.node, address: offering.peerAddress, isPreferred: false }
    return this._fallbackBackoff.isDialAllowed(FALLBACK_KEY, now) ? this._chooseFallback(nodes, state, now) : undefined
  }

  public recordFailure (source: IViewSource, now: Timestamp): void {
    this._nodeBackoff.recordFailure(source.name, now)
    if (!source.isPreferred) this._fallbackBackoff.recordFailure(FALLBACK_KEY, now)
  }

  /** Records that a source provided a current view: the next search for a fallback starts without a pause. */
  public recordCurrentView (): void {
    this._fallbackBackoff.recordSuccess(FALLBACK_KEY)
  }

  /** Records that the link to a source was closed because this node no longer needs it. */
  public recordSuccess (source: IViewSource): void {
    this._nodeBackoff.recordSuccess(source.name)
  }

  /** Records a node that reads the store; it becomes the next fallback if this node cannot read the store. */
  public recordOffer (node: NodeName): void {
    this._offeringNode = node
  }

  /** Records the address of a node to use as a source when no node is known. */
  public recordSuggestion (address: NetworkAddress): void {
    this._suggestedAddress = address
  }

  /** Selects a random node, with nodes of the same region first. */
  private _chooseFallback (nodes: ReadonlyMap<NodeName, IKnownNode>, state: ISelectionState, now: Timestamp): IViewSource | undefined {
    const others = [...nodes.values()].filter((node) => !state.isLinked(node.node) && this._isCandidate(node, now))
    const nearNodes = others.filter((node) => node.region === this._self.region)
    const candidates = nearNodes.length > 0 ? nearNodes : others
    const chosen = candidates[this._random.integer(Math.max(1, candidates.length))]
    if (chosen !== undefined) return { name: chosen.node, address: chosen.peerAddress, isPreferred: false }
    return this._consumeSuggestion()
  }

  private _consumeOffer (nodes: ReadonlyMap<NodeName, IKnownNode>, state: ISelectionState): IKnownNode | undefined {
    const name = this._offeringNode
    this._offeringNode = undefined
    return name === undefined || name === this._self.name || state.isLinked(name) ? undefined : nodes.get(name)
  }

  /** The highest-ranked node above this one that is not in backoff and to which no link is open. */
  private _choosePreferred (nodes: ReadonlyMap<NodeName, IKnownNode>, state: ISelectionState, now: Timestamp): IKnownNode | undefined {
    const names: NodeName[] = []
    for (const node of nodes.values()) {
      if (node.region === this._self.region && !node.isLeaving) names.push(node.node)
    }
    if (!names.includes(this._self.name)) names.push(this._self.name)
    const ranked = this._rankingOf(this._self.region).top(names, READERS_IN_REGION)
    for (const name of ranked) {
      if (name === this._self.name) return undefined
      const node = nodes.get(name)
      if (node !== undefined && !state.isLinked(name) && this._nodeBackoff.isDialAllowed(name, now)) return node
    }
    return undefined
  }

  private _rankingOf (region: Region): Rendezvous<NodeName> {
    const ranking = this._rankings.get(region)
    if (ranking !== undefined) return ranking
    const rendezvous = createReaderRanking(region)
    this._rankings.set(region, rendezvous)
    return rendezvous
  }

  private _isCandidate (node: IKnownNode, now: Timestamp): boolean {
    return node.node !== this._self.name && !node.isLeaving && this._nodeBackoff.isDialAllowed(node.node, now)
  }

  private _consumeSuggestion (): IViewSource | undefined {
    const address = this._suggestedAddress
    this._suggestedAddress = undefined
    return address === undefined ? undefined : { name: address as string as NodeName, address, isPreferred: false, isAddressOnly: true }
  }
}
