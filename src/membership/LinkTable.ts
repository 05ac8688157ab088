/** The open links of a node, at most one a peer. */
import type { FailureDomain, NodeId } from '../common/Types.js'
import type { PeerLink } from './PeerLink.js'

/** Keeps one link for each peer; when both ends dialled at once, both keep the one dialled by the lower id. */
export class LinkTable {
  private _links: readonly PeerLink[] = Object.freeze([])
  private readonly _byPeer = new Map<NodeId, PeerLink>()

  constructor (private readonly _self: NodeId) {}

  /** Replaced with every change. */
  public get links (): readonly PeerLink[] {
    return this._links
  }

  public get (peer: NodeId): PeerLink | undefined {
    return this._byPeer.get(peer)
  }

  /** Number of links inside or outside the failure domain. */
  public count (isLocal: boolean): number {
    return this._links.filter((link) => link.isLocal === isLocal).length
  }

  public hasDomain (failureDomain: FailureDomain): boolean {
    return this._links.some((link) => link.peer.failureDomain === failureDomain)
  }

  /** Adds a link. Gives the link that must give way, which is the new one or the one held before. */
  public add (link: PeerLink): PeerLink | undefined {
    const held = this._byPeer.get(link.peer.id)
    if (held !== undefined && !this._replaces(link, held)) return link
    if (held !== undefined) this.remove(held)
    this._byPeer.set(link.peer.id, link)
    this._links = Object.freeze([...this._links, link])
    return held
  }

  public remove (link: PeerLink): void {
    if (this._byPeer.get(link.peer.id) !== link) return
    this._byPeer.delete(link.peer.id)
    this._links = Object.freeze(this._links.filter((candidate) => candidate !== link))
  }

  /** A second link from the same side means that this side lost the first. */
  private _replaces (link: PeerLink, held: PeerLink): boolean {
    if (link.isDialled === held.isDialled) return true
    const isDialledByLower = link.isDialled === (this._self < link.peer.id)
    return isDialledByLower
  }
}
