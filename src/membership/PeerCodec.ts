/** Encodes and decodes the messages between nodes. */
import { loadProtocol } from '../common/Protocol.js'
import type { MethodDefinition } from '@grpc/proto-loader'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'

/** gRPC definition of the stream between two nodes. */
export function exchangeDefinition (): MethodDefinition<PeerMessage, PeerMessage, ReceivedPeerMessage, ReceivedPeerMessage> {
  const service = loadProtocol().savoryknot.Peer.service
  return service.Exchange as MethodDefinition<PeerMessage, PeerMessage, ReceivedPeerMessage, ReceivedPeerMessage>
}

/** Encodes a message as a gRPC payload, without the gRPC framing. */
export function encodePeerMessage (message: PeerMessage): Buffer {
  return exchangeDefinition().requestSerialize(message)
}

/** Decodes a message; throws if the bytes are malformed. A message of an unknown kind has no `kind`. */
export function decodePeerMessage (bytes: Buffer): ReceivedPeerMessage {
  return exchangeDefinition().requestDeserialize(bytes)
}
