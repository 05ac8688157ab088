/** Loads the definition of the protocol, proto/savoryknot.proto, once per process. */
import { existsSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { loadSync } from '@grpc/proto-loader'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { OperatorDefinition } from '../generated/savoryknot/Operator.js'
import type { PeerDefinition } from '../generated/savoryknot/Peer.js'
import type { PeerMessage, ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'

const PROTOCOL_FILE = join('proto', 'savoryknot.proto')

/** Definitions of the services between nodes and towards operators. */
export interface IProtocol {
  readonly peer: PeerDefinition
  readonly operator: OperatorDefinition
}

let loaded: IProtocol | undefined

/** The protocol's service definitions. */
export function loadProtocol (): IProtocol {
  loaded ??= readProtocol()
  return loaded
}

/** Bytes of a message as they go onto a stream, without the frame of gRPC. */
export function encodePeerMessage (message: PeerMessage): Buffer {
  return loadProtocol().peer.Exchange.requestSerialize(message)
}

/** Reads a message; throws if the bytes are none. A message of an unknown kind has no `kind`. */
export function decodePeerMessage (bytes: Buffer): ReceivedPeerMessage {
  return loadProtocol().peer.Exchange.requestDeserialize(bytes)
}

function readProtocol (): IProtocol {
  const definition = loadSync(findProtocolFile(), { longs: Number, enums: String, defaults: true, oneofs: true })
  return {
    peer: definition['savoryknot.Peer'] as unknown as PeerDefinition,
    operator: definition['savoryknot.Operator'] as unknown as OperatorDefinition
  }
}

/** Looks upwards from this module, which runs from src/ as well as from dist/src/. */
function findProtocolFile (): string {
  let folder = dirname(fileURLToPath(import.meta.url))
  while (!existsSync(join(folder, PROTOCOL_FILE))) {
    const parent = dirname(folder)
    if (parent === folder) throw new SavoryknotError(`${PROTOCOL_FILE} is missing from the installation`, { step: 'protocol.load' })
    folder = parent
  }
  return join(folder, PROTOCOL_FILE)
}
