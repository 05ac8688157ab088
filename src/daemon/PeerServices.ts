/** Registers the peer port and the control plane that uses it. */
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js'
import { loadProtocol } from '../common/Protocol.js'
import type { IKernel } from '../common/Services.js'
import type { NodeId, RequestId } from '../common/Types.js'
import { registerControlPlane } from '../distribution/ControlPlane.js'
import { ICatchUpService } from '../distribution/Services.js'
import { IGateService } from '../gate/Services.js'
import type { ReceivedSettleRequest } from '../generated/savoryknot/SettleRequest.js'
import type { SettleReply } from '../generated/savoryknot/SettleReply.js'
import { GrpcPeerTransport } from '../membership/GrpcPeerTransport.js'
import { IPeerTransport } from '../membership/Services.js'
import { FOUNDATION, foundationOf } from './Foundation.js'
import { PLAINTEXT, type KeyService } from './keys/KeyService.js'
import { ICaughtUpService } from './Services.js'
import type { ISettings } from './settings/Types.js'
import { SOFTWARE_VERSION } from './Software.js'

/** Dependencies of the peer port. */
export interface IPeerServicesOptions {
  readonly settings: ISettings
  readonly id: NodeId
  readonly keys: KeyService | undefined
}

/** Registers the transport, the membership and the distribution services. */
export function registerPeers (kernel: IKernel, options: IPeerServicesOptions): void {
  const { node, peers, limits } = options.settings
  kernel.register({ key: IPeerTransport, dependsOn: FOUNDATION, create: () => createTransport(kernel, options) })
  registerControlPlane(kernel, {
    self: {
      id: options.id,
      failureDomain: node['failure-domain'],
      region: node.region,
      peerAddress: node['peer-address'],
      gateAddress: node['gate-address'],
      software: SOFTWARE_VERSION
    },
    bootstrap: { peers },
    overlay: { joinsPerSecond: limits['joins-per-second'] }
  })
  kernel.register({
    key: ICaughtUpService,
    dependsOn: [ICatchUpService],
    create: () => ({ start: async () => { await kernel.get(ICatchUpService).completed } })
  })
}

function createTransport (kernel: IKernel, options: IPeerServicesOptions): GrpcPeerTransport {
  const transport = new GrpcPeerTransport({
    ...foundationOf(kernel),
    address: options.settings.node['peer-address'],
    serverCredentials: options.keys?.serverCredentials('node') ?? PLAINTEXT.server(),
    channelCredentials: options.keys?.channelCredentials() ?? PLAINTEXT.channel()
  })
  transport.addService({ Settle: loadProtocol().savoryknot.Peer.service.Settle }, {
    Settle: (call: ServerUnaryCall<ReceivedSettleRequest, SettleReply>, callback: sendUnaryData<SettleReply>) => {
      callback(null, settle(kernel, options.id, call.request))
    }
  })
  return transport
}

/** Cannot settle a request that was sent to another process, for example to the previous process at this address. */
function settle (kernel: IKernel, self: NodeId, request: ReceivedSettleRequest): SettleReply {
  if (request.node !== self) return { answer: '', node: self }
  const answer = kernel.get(IGateService).settle(request.requestId as RequestId, foundationOf(kernel).clock.now())
  return { answer, node: self }
}
