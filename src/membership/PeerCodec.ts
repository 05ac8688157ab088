/** Messages between nodes as bytes. */
import { loadProtocol } from '../common/Protocol.js'
import type { MethodDefinition } from '@grpc/proto-loader'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'

/** Definition of the stream between two nodes. */
export function exchangeDefinition (): MethodDefinition<PeerMessage, PeerMessage, ReceivedPeerMessage, ReceivedPeerMessage> {
  const service = loadProtocol().savoryknot.Peer.service
  return service.Exchange as MethodDefinition<PeerMessage, PeerMessage, ReceivedPeerMessage, ReceivedPeerMessage>
}

/** Bytes of a message as they go onto a stream, without the frame of gRPC. */
export function encodePeerMessage (message: PeerMessage): Buffer {
  return exchangeDefinition().requestSerialize(message)
}

/** Reads a message; throws if the bytes are none. A message of an unknown kind has no `kind`. */
export function decodePeerMessage (bytes: Buffer): ReceivedPeerMessage {
  return exchangeDefinition().requestDeserialize(bytes)
}
