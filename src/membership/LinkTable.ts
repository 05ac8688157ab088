/** The open links of a node, at most one per peer. */
import type { FailureDomain, NodeId } from '../common/Types.js'
import type { PeerLink } from './PeerLink.js'

/** Keeps one link for each peer; if both nodes dialled at the same time, both keep the link that was dialled by the lower id. */
export class LinkTable {
  private _links: readonly PeerLink[] = Object.freeze([])
  private readonly _byPeer = new Map<NodeId, PeerLink>()

  constructor (private readonly _self: NodeId) {}

  /** The array is replaced with every change. */
  public get links (): readonly PeerLink[] {
    return this._links
  }

  public get (peer: NodeId): PeerLink | undefined {
    return this._byPeer.get(peer)
  }

  /** Number of links inside the own failure domain, or outside it. */
  public count (isLocal: boolean): number {
    return this._links.filter((link) => link.isLocal === isLocal).length
  }

  public hasDomain (failureDomain: FailureDomain): boolean {
    return this._links.some((link) => link.peer.failureDomain === failureDomain)
  }

  /** Adds a link unless the current link to the peer takes precedence. Returns the redundant link, if any; it may be the new one. */
  public add (link: PeerLink): PeerLink | undefined {
    const current = this._byPeer.get(link.peer.id)
    if (current !== undefined && !this._shouldReplace(link, current)) return link
    if (current !== undefined) this.remove(current)
    this._byPeer.set(link.peer.id, link)
    this._links = Object.freeze([...this._links, link])
    return current
  }

  public remove (link: PeerLink): void {
    if (this._byPeer.get(link.peer.id) !== link) return
    this._byPeer.delete(link.peer.id)
    this._links = Object.freeze(this._links.filter((candidate) => candidate !== link))
  }

  /** If the same node dialled both links, it has lost the first one, so the new one replaces it. */
  private _shouldReplace (link: PeerLink, current: PeerLink): boolean {
    if (link.isDialled === current.isDialled) return true
    const isDialledByLowerId = link.isDialled === (this._self < link.peer.id)
    return isDialledByLowerId
  }
}
