/** Decides from which node a node takes its view, and when it reads the store itself. */
import type { IRandomService } from '../../common/Services.js'
import type { NetworkAddress, Region, Timestamp } from '../../common/Types.js'
import { RedialBackoff } from '../../membership/RedialBackoff.js'
import { Rendezvous } from '../../membership/Rendezvous.js'
import type { Milliseconds } from '../../common/Types.js'
import type { INodeIdentity } from '../Services.js'
import type { IKnownNode, NodeName } from '../Types.js'

/** A node that may be asked for its view. */
export interface IViewSource {
  readonly name: NodeName
  readonly address: NetworkAddress
  /** True for a node that ranks above this one; others are asked only when the store cannot be read. */
  readonly isPreferred: boolean
  /** True if only the address is known; `name` then holds it, too. */
  readonly isSuggested?: boolean
}

/** What a choice depends on besides the nodes. */
export interface IChoiceState {
  /** True if this node has tried in vain to read the store. */
  readonly isStoreLost: boolean
  /** True for a node to which there is a link. */
  readonly isLinked: (node: NodeName) => boolean
}

/** How many nodes of a region rank as readers; the second follows the first and takes over from it. */
const READERS_IN_REGION = 2
const SHORTEST_REDIAL_MS = 500 as Milliseconds
const LONGEST_REDIAL_MS = 4_000 as Milliseconds
/** Bounds of the pause after a substitute that was of no use, whichever it was: with many nodes there always is another one to ask. */
const SHORTEST_SEARCH_PAUSE_MS = 200 as Milliseconds
const LONGEST_SEARCH_PAUSE_MS = 1_500 as Milliseconds
const SEARCH = 'substitute'

/** Ranks the nodes of a region as readers of the store; the same at every node. */
export function rankOfReaders (region: Region): Rendezvous<NodeName> {
  return new Rendezvous<NodeName>(`view-reader ${region}`)
}

/**
 * Ranks the nodes of each region alike everywhere. The first reads the store, the others follow it, so that the
 * calls to the store grow with regions and changes, not with nodes. Nodes that rank differently read twice, no more.
 */
export class ReadingPolicy {
  private readonly _rendezvous = new Map<Region, Rendezvous<NodeName>>()
  private readonly _backoff: RedialBackoff<NodeName>
  private readonly _search: RedialBackoff<typeof SEARCH>
  private _suggested: NetworkAddress | undefined
  private _offered: NodeName | undefined

  constructor (private readonly _self: INodeIdentity, private readonly _random: IRandomService) {
    this._backoff = new RedialBackoff<NodeName>({ random: _random, redialDelay: SHORTEST_REDIAL_MS, longestRedialDelay: LONGEST_REDIAL_MS })
    this._search = new RedialBackoff<typeof SEARCH>({
      random: _random, redialDelay: SHORTEST_SEARCH_PAUSE_MS, longestRedialDelay: LONGEST_SEARCH_PAUSE_MS
    })
  }

  /** A source to open a link to now. */
  public choose (nodes: ReadonlyMap<NodeName, IKnownNode>, state: IChoiceState, now: Timestamp): IViewSource | undefined {
    const preferred = this._preferred(nodes, state, now)
    if (preferred !== undefined) return { name: preferred.node, address: preferred.peerAddress, isPreferred: true }
    if (!state.isStoreLost) return undefined
    const offered = this._takeOffered(nodes, state)
    if (offered !== undefined) return { name: offered.node, address: offered.peerAddress, isPreferred: false }
    return this._search.mayDial(SEARCH, now) ? this._anyOther(nodes, state, now) : undefined
  }

  public recordFailure (source: IViewSource, now: Timestamp): void {
    this._backoff.recordFailure(source.name, now)
    if (!source.isPreferred) this._search.recordFailure(SEARCH, now)
  }

  /** A source gave a current view: the next search begins without a pause. */
  public recordCurrent (): void {
    this._search.recordSuccess(SEARCH)
  }

  /** A source was left because this node no longer needs it. */
  public recordSuccess (source: IViewSource): void {
    this._backoff.recordSuccess(source.name)
  }

  /** Remembers a node that reads the store, to be asked next if this one cannot. */
  public offer (node: NodeName): void {
    this._offered = node
  }

  /** Remembers a node to ask when none is known. */
  public suggest (address: NetworkAddress): void {
    this._suggested = address
  }

  /** A node drawn at random, near ones first. */
  private _anyOther (nodes: ReadonlyMap<NodeName, IKnownNode>, state: IChoiceState, now: Timestamp): IViewSource | undefined {
    const others = [...nodes.values()].filter((node) => !state.isLinked(node.node) && this._isCandidate(node, now))
    const near = others.filter((node) => node.region === this._self.region)
    const pool = near.length > 0 ? near : others
    const other = pool[this._random.integer(Math.max(1, pool.length))]
    if (other !== undefined) return { name: other.node, address: other.peerAddress, isPreferred: false }
    return this._takeSuggested()
  }

  private _takeOffered (nodes: ReadonlyMap<NodeName, IKnownNode>, state: IChoiceState): IKnownNode | undefined {
    const name = this._offered
    this._offered = undefined
    return name === undefined || name === this._self.name || state.isLinked(name) ? undefined : nodes.get(name)
  }

  /** The highest-ranked node above this one that can be reached and to which there is no link. */
  private _preferred (nodes: ReadonlyMap<NodeName, IKnownNode>, state: IChoiceState, now: Timestamp): IKnownNode | undefined {
    const names: NodeName[] = []
    for (const node of nodes.values()) {
      if (node.region === this._self.region && !node.isLeaving) names.push(node.node)
    }
    if (!names.includes(this._self.name)) names.push(this._self.name)
    const ranked = this._rank(this._self.region).top(names, READERS_IN_REGION)
    for (const name of ranked) {
      if (name === this._self.name) return undefined
      const node = nodes.get(name)
      if (node !== undefined && !state.isLinked(name) && this._backoff.mayDial(name, now)) return node
    }
    return undefined
  }

  private _rank (region: Region): Rendezvous<NodeName> {
    const known = this._rendezvous.get(region)
    if (known !== undefined) return known
    const rendezvous = rankOfReaders(region)
    this._rendezvous.set(region, rendezvous)
    return rendezvous
  }

  private _isCandidate (node: IKnownNode, now: Timestamp): boolean {
    return node.node !== this._self.name && !node.isLeaving && this._backoff.mayDial(node.node, now)
  }

  private _takeSuggested (): IViewSource | undefined {
    const address = this._suggested
    this._suggested = undefined
    return address === undefined ? undefined : { name: address as string as NodeName, address, isPreferred: false, isSuggested: true }
  }
}
