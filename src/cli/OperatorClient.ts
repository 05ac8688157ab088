/** Connection to the operator port of one node. */
import { status, type ChannelCredentials, type ServiceError } from '@grpc/grpc-js'
import { NODE_SERVER_NAME } from '../common/CertificateIdentity.js'
import { loadProtocol } from '../common/Protocol.js'
import type { OperatorClient as GeneratedClient } from '../generated/savoryknot/Operator.js'
import type { ReceivedBurnReply } from '../generated/savoryknot/BurnReply.js'
import type { ReceivedEndpointsReply } from '../generated/savoryknot/EndpointsReply.js'
import type { ReceivedHistoryReply } from '../generated/savoryknot/HistoryReply.js'
import type { ReceivedNodesReply } from '../generated/savoryknot/NodesReply.js'
import type { ReceivedShowReply } from '../generated/savoryknot/ShowReply.js'
import type { ReceivedStatusReply } from '../generated/savoryknot/StatusReply.js'
import type { ReceivedSubmitReply } from '../generated/savoryknot/SubmitReply.js'
import type { SubmitRequest } from '../generated/savoryknot/SubmitRequest.js'
import { RefusedError, UnreachableError } from './CommandErrors.js'
import type { IOperatorClient } from './Services.js'

const CALL_TIMEOUT_MS = 10_000

/** Options of `OperatorClient`. */
export interface IOperatorClientOptions {
  /** `host:port` of a node's operator port. */
  readonly node: string
  readonly credentials: ChannelCredentials
}

type Callback<TReply> = (error: ServiceError | null, reply?: TReply) => void

/** gRPC client of the operator port: converts callbacks into promises and status codes into error classes. */
export class OperatorClient implements IOperatorClient {
  private readonly _client: GeneratedClient
  private readonly _node: string

  constructor (options: IOperatorClientOptions) {
    this._node = options.node
    this._client = new (loadProtocol().savoryknot.Operator)(options.node, options.credentials, { 'grpc.ssl_target_name_override': NODE_SERVER_NAME })
  }

  public submit (request: SubmitRequest): Promise<ReceivedSubmitReply> {
    return this._call('submit', (callback) => this._client.submit(request, this._deadline(), callback))
  }

  public show (service: string, version: number): Promise<ReceivedShowReply> {
    return this._call('show', (callback) => this._client.show({ service, version }, this._deadline(), callback))
  }

  public history (service: string, limit: number): Promise<ReceivedHistoryReply> {
    return this._call('history', (callback) => this._client.history({ service, limit }, this._deadline(), callback))
  }

  public status (service: string): Promise<ReceivedStatusReply> {
    return this._call('status', (callback) => this._client.status({ service }, this._deadline(), callback))
  }

  public endpoints (service: string): Promise<ReceivedEndpointsReply> {
    return this._call('endpoints', (callback) => this._client.endpoints({ service }, this._deadline(), callback))
  }

  public nodes (): Promise<ReceivedNodesReply> {
    return this._call('nodes', (callback) => this._client.nodes({}, this._deadline(), callback))
  }

  public burn (service: string): Promise<ReceivedBurnReply> {
    return this._call('burn', (callback) => this._client.burn({ service }, this._deadline(), callback))
  }

  public close (): void {
    this._client.close()
  }

  private _deadline (): { deadline: number } {
    return { deadline: Date.now() + CALL_TIMEOUT_MS }
  }

  private _call<TReply> (step: string, start: (callback: Callback<TReply>) => void): Promise<TReply> {
    return new Promise((resolve, reject) => {
      start((error, reply) => error === null ? resolve(reply as TReply) : reject(this._toError(step, error)))
    })
  }

  private _toError (step: string, error: ServiceError): Error {
    const origin = { step: `ctl.${step}`, peer: this._node, cause: error }
    const message = `${error.details} [${step}, node ${this._node}]`
    const isRefused = [status.INVALID_ARGUMENT, status.PERMISSION_DENIED, status.NOT_FOUND, status.UNAUTHENTICATED].includes(error.code)
    return isRefused ? new RefusedError(message, origin) : new UnreachableError(message, origin)
  }
}
