/** Asks another node by gRPC whether it has started a request (settle query). */
import { credentials, Client, type ChannelCredentials } from '@grpc/grpc-js'
import type { MethodDefinition } from '@grpc/proto-loader'
import { NODE_SERVER_NAME } from '../common/CertificateIdentity.js'
import { loadProtocol } from '../common/Protocol.js'
import type { NetworkAddress, NodeId, RequestId, Timestamp } from '../common/Types.js'
import type { SettleResult } from '../gate/Types.js'
import type { ReceivedSettleReply } from '../generated/savoryknot/SettleReply.js'
import type { SettleRequest } from '../generated/savoryknot/SettleRequest.js'
import type { IMembershipService } from '../membership/Services.js'
import type { ISettleClient } from './Types.js'

/** Dependencies and limits of `GrpcSettleClient`. */
export interface IGrpcSettleClientOptions {
  readonly membership: Pick<IMembershipService, 'members'>
  /** Without credentials, connections are unencrypted. */
  readonly channelCredentials?: ChannelCredentials
  /** Maximum time until the reply. */
  readonly timeoutMs?: number
  /** Maximum number of open channels; the least recently used one is closed first. */
  readonly channelLimit?: number
}

const DEFAULT_TIMEOUT_MS = 1_000
const DEFAULT_CHANNEL_LIMIT = 8

/** Queries the node by its peer address; a reply of another node at the same address is ignored. */
export class GrpcSettleClient implements ISettleClient {
  private readonly _clients = new Map<NetworkAddress, Client>()
  private readonly _method: MethodDefinition<SettleRequest, ReceivedSettleReply>

  constructor (private readonly _options: IGrpcSettleClientOptions) {
    this._method = settleMethod()
  }

  public settle (node: NodeId, requestId: RequestId, deadlineAt: Timestamp, now: Timestamp): Promise<SettleResult | undefined> {
    const address = this._options.membership.members.get(node)?.peerAddress
    const timeoutMs = Math.min(deadlineAt - now, this._options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
    if (address === undefined || timeoutMs <= 0) return Promise.resolve(undefined)
    const { path, requestSerialize, responseDeserialize } = this._method
    const request: SettleRequest = { requestId, node }
    return new Promise((resolve) => {
      this._client(address).makeUnaryRequest(
        path, requestSerialize, responseDeserialize, request, { deadline: now + timeoutMs },
        (error, reply) => resolve(error === null && reply !== undefined ? readReply(reply, node) : undefined)
      )
    })
  }

  public dispose (): void {
    for (const client of this._clients.values()) client.close()
    this._clients.clear()
  }

  private _client (address: NetworkAddress): Client {
    const client = this._clients.get(address) ?? this._connect(address)
    this._clients.delete(address)
    this._clients.set(address, client)
    this._closeLeastRecentlyUsed()
    return client
  }

  private _connect (address: NetworkAddress): Client {
    const channelCredentials = this._options.channelCredentials ?? credentials.createInsecure()
    return new Client(address, channelCredentials, { 'grpc.ssl_target_name_override': NODE_SERVER_NAME })
  }

  private _closeLeastRecentlyUsed (): void {
    const limit = this._options.channelLimit ?? DEFAULT_CHANNEL_LIMIT
    for (const [address, client] of this._clients) {
      if (this._clients.size <= limit) return
      this._clients.delete(address)
      client.close()
    }
  }
}

function settleMethod (): MethodDefinition<SettleRequest, ReceivedSettleReply> {
  return loadProtocol().savoryknot.Peer.service.Settle
}

function readReply (reply: ReceivedSettleReply, node: NodeId): SettleResult | undefined {
  if (reply.node !== node) return undefined
  return reply.answer === 'started' || reply.answer === 'never-will-be' ? reply.answer : undefined
}
