/** Loads the messages and RPC services of proto/savoryknot.proto. */
import { loadPackageDefinition } from '@grpc/grpc-js'
import { loadSync } from '@grpc/proto-loader'
import { existsSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { ProtoGrpcType } from '../generated/savoryknot.js'
import { joinGrpcMessageParts } from './GrpcMessageParts.js'

const PROTO_FILE = join('proto', 'savoryknot.proto')

let loaded: ProtoGrpcType | undefined

/** Returns the RPC services, which are loaded once per process. Every client and server needs them before its first message. */
export function loadProtocol (): ProtoGrpcType {
  joinGrpcMessageParts()
  loaded ??= loadPackageDefinition(loadSync(findProtoFile(), {
    longs: Number,
    enums: String,
    defaults: true,
    oneofs: true
  })) as unknown as ProtoGrpcType
  return loaded
}

/** Searches the parent folders of this module, which runs from src/ or from dist/src/. */
function findProtoFile (): string {
  let folder = dirname(fileURLToPath(import.meta.url))
  while (!existsSync(join(folder, PROTO_FILE))) {
    const parent = dirname(folder)
    if (parent === folder) throw new Error(`${PROTO_FILE} is missing from the installation`)
    folder = parent
  }
  return join(folder, PROTO_FILE)
}
