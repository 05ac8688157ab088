/** Baseline for the distribution of documents: every node sends the complete text of each new version over all its links. */
import type { ContentHash, DocumentVersion, ServiceName } from '../../src/common/Types.js'
import { decodeBody, encodeBody, MAXIMUM_DOCUMENT_BYTES } from '../../src/distribution/BodyCodec.js'
import { IHeldDocuments } from '../../src/distribution/HeldDocuments.js'
import { ISnapshotService } from '../../src/distribution/Services.js'
import type { IVersionedText } from '../../src/documents/Types.js'
import type { ReceivedBody } from '../../src/generated/savoryknot/Body.js'
import { IOverlayService, type IPeerLink } from '../../src/membership/Services.js'
import { encodeVersionEntry } from '../../src/distribution/VersionEntryCodec.js'
import type { FleetNode } from './FleetNode.js'

/** Distributes documents by flooding, on a node whose transport drops announcements and pulls. */
export function enableFlooding (node: FleetNode): void {
  const overlay = node.get(IOverlayService)
  const held = node.get(IHeldDocuments)
  const sources = new Map<string, IPeerLink>()
  const listen = (link: IPeerLink): void => {
    link.onMessage((message) => {
      if (!message.body) return
      const version = decode(message.body, link.peer.id)
      if (held.newestVersion(version.service) >= version.version) return
      sources.set(`${version.service} ${version.version}`, link)
      node.get(ISnapshotService).applyNewer([version], node.clock.now())
    })
  }
  for (const link of overlay.links) listen(link)
  overlay.onLinkOpened(listen)
  held.onAdded((added) => {
    for (const version of added) sendToOthers(overlay.links, sources.get(`${version.service} ${version.version}`), version)
  })
}

function sendToOthers (links: readonly IPeerLink[], source: IPeerLink | undefined, version: IVersionedText): void {
  const body = { entry: encodeVersionEntry(version), baseVersion: 0, content: encodeBody(version.text, undefined) }
  for (const link of links) if (link !== source) link.send({ body })
}

function decode (body: ReceivedBody, peer: string): IVersionedText {
  const hash = body.entry?.hash.toString('hex') as ContentHash
  const text = decodeBody(body.content, undefined, hash, { peer, maximumBytes: MAXIMUM_DOCUMENT_BYTES })
  return { service: body.entry?.service as ServiceName, version: body.entry?.version as DocumentVersion, hash, isTombstone: false, text }
}
