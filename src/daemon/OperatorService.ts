/** RPC server of the operator port. */
import { Metadata, Server, ServerCredentials, status, type sendUnaryData, type ServerUnaryCall, type UntypedServiceImplementation } from '@grpc/grpc-js'
import type { IClockService, ILogService, IService } from '../common/Services.js'
import { shutDownGrpcServer } from '../common/GrpcServerShutdown.js'
import { loadProtocol } from '../common/Protocol.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import type { Milliseconds, NetworkAddress, TeamName } from '../common/Types.js'
import type { ReceivedBurnRequest } from '../generated/savoryknot/BurnRequest.js'
import type { ReceivedEndpointsRequest } from '../generated/savoryknot/EndpointsRequest.js'
import type { ReceivedHistoryRequest } from '../generated/savoryknot/HistoryRequest.js'
import type { ReceivedShowRequest } from '../generated/savoryknot/ShowRequest.js'
import type { ReceivedStatusRequest } from '../generated/savoryknot/StatusRequest.js'
import type { ReceivedSubmitRequest } from '../generated/savoryknot/SubmitRequest.js'
import { OPERATOR_CALL_FAILED, OPERATOR_REFUSED } from './Events.js'
import { ForbiddenError, InvalidArgumentError, NotFoundError } from './OperatorErrors.js'
import type { OperatorHandlers } from './OperatorHandlers.js'

/** Maximum size of a message of a client: a document plus overhead. */
const MAXIMUM_MESSAGE_BYTES = 256 * 1024
/** Maximum time for which calls in flight delay the stop. */
const STOP_GRACE_MS = 2_000 as Milliseconds

/** Determines the team of a client from its certificate. */
export interface IOperatorAuthentication {
  /** Undefined if certificates are off. Throws `ForbiddenError` if the certificate is not that of an operator. */
  teamOf (call: ServerUnaryCall<unknown, unknown>): TeamName | undefined
}

/** Dependencies of the operator port. */
export interface IOperatorServiceOptions {
  readonly address: NetworkAddress
  readonly credentials: ServerCredentials
  readonly authentication: IOperatorAuthentication
  readonly handlers: OperatorHandlers
  readonly clock: IClockService
  readonly log: ILogService
}

/** Handles one call: returns the reply, or throws. */
type Handler<TRequest> = (request: TRequest, team: TeamName | undefined) => object | Promise<object>

/** Serves `savoryknotctl`. */
export class OperatorService implements IService {
  private readonly _server = new Server({ 'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES })

  constructor (private readonly _options: IOperatorServiceOptions) {
    this._server.addService(loadProtocol().savoryknot.Operator.service, this._implementation())
  }

  public async start (): Promise<void> {
    const { address, credentials } = this._options
    await new Promise<void>((resolve, reject) => {
      this._server.bindAsync(address, credentials, (error) => error === null ? resolve() : reject(error))
    })
  }

  /** Waits for calls in flight for at most `STOP_GRACE_MS`. */
  public async stop (): Promise<void> {
    await shutDownGrpcServer(this._server, this._options.clock, STOP_GRACE_MS)
  }

  private _implementation (): UntypedServiceImplementation {
    const { handlers, clock } = this._options
    return {
      Submit: this._unary<ReceivedSubmitRequest>('submit', (request, team) => handlers.submit(request, team, clock.now())),
      Show: this._unary<ReceivedShowRequest>('show', (request) => handlers.show(request)),
      History: this._unary<ReceivedHistoryRequest>('history', (request) => handlers.history(request.service, request.limit)),
      Status: this._unary<ReceivedStatusRequest>('status', (request) => handlers.status(request.service, clock.now())),
      Endpoints: this._unary<ReceivedEndpointsRequest>('endpoints', (request) => handlers.endpoints(request.service)),
      Nodes: this._unary<object>('nodes', () => handlers.nodes()),
      Burn: this._unary<ReceivedBurnRequest>('burn', (request) => handlers.burn(request.service, clock.now()))
    }
  }

  private _unary<TRequest> (name: string, handler: Handler<TRequest>) {
    return (call: ServerUnaryCall<TRequest, object>, callback: sendUnaryData<object>): void => {
      this._run(name, call, handler).then((reply) => callback(null, reply), (error: unknown) => this._refuse(name, call, error, callback))
    }
  }

  private async _run<TRequest> (_name: string, call: ServerUnaryCall<TRequest, object>, handler: Handler<TRequest>): Promise<object> {
    const team = this._options.authentication.teamOf(call)
    return handler(call.request, team)
  }

  private _refuse (name: string, call: ServerUnaryCall<unknown, object>, error: unknown, callback: sendUnaryData<object>): void {
    const event = error instanceof ForbiddenError ? OPERATOR_REFUSED : OPERATOR_CALL_FAILED
    const details = error instanceof Error ? error.message : String(error)
    const step = error instanceof SavoryknotError ? error.step : `operator.${name}`
    this._options.log.log(event, { step, peer: call.getPeer(), message: details })
    callback({ code: statusCodeOf(error), details: `${details} (${step})`, metadata: new Metadata() })
  }
}

/** RPC status code of an error. */
function statusCodeOf (error: unknown): status {
  if (error instanceof InvalidArgumentError) return status.INVALID_ARGUMENT
  if (error instanceof NotFoundError) return status.NOT_FOUND
  if (error instanceof ForbiddenError) return status.PERMISSION_DENIED
  return status.UNAVAILABLE
}
