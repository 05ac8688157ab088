/** Counts the traffic between the regions of a fleet. */
import type { ContentHash, Region } from '../../src/common/Types.js'
import type { PeerMessage } from '../../src/generated/savoryknot/PeerMessage.js'
import { encodePeerMessage } from '../../src/membership/PeerCodec.js'

/** Counts payload bytes and document bodies by pair of regions, regardless of direction. */
export class RegionTraffic {
  private readonly _bytes = new Map<string, number>()
  /** Number of transfers, by pair of regions and content. */
  private readonly _bodies = new Map<string, number>()

  /** Counts a message sent from one node to another. */
  public countMessage (from: Region, to: Region, message: PeerMessage): void {
    if (from === to) return
    const pair = pairOf(from, to)
    this._bytes.set(pair, (this._bytes.get(pair) ?? 0) + encodePeerMessage(message).length)
    if (message.body?.entry?.hash === undefined) return
    this._countBody(pair, Buffer.from(message.body.entry.hash as Uint8Array).toString('hex'))
  }

  /** Counts a text that a node in `to` read from the store in `from`. */
  public countText (from: Region, to: Region, hash: ContentHash): void {
    if (from !== to) this._countBody(pairOf(from, to), hash)
  }

  /** Total payload bytes between regions. */
  public get bytes (): number {
    return [...this._bytes.values()].reduce((sum, bytes) => sum + bytes, 0)
  }

  /** Highest number of transfers of one content over one pair of regions. */
  public get maximumCrossings (): number {
    return Math.max(0, ...this._bodies.values())
  }

  /** Total number of body transfers between regions. */
  public get crossings (): number {
    return [...this._bodies.values()].reduce((sum, count) => sum + count, 0)
  }

  public reset (): void {
    this._bytes.clear()
    this._bodies.clear()
  }

  private _countBody (pair: string, content: string): void {
    const key = `${pair} ${content}`
    this._bodies.set(key, (this._bodies.get(key) ?? 0) + 1)
  }
}

function pairOf (from: Region, to: Region): string {
  return [from, to].sort().join(' ')
}
