/** HTTP server for calls, probes and settle queries from other nodes. */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Emitter } from '../../common/Emitter.js'
import { closeAfterPendingInput, listenAt } from '../../common/Listening.js'
import { waitForPendingInput } from '../../common/PendingInput.js'
import { UnfinishedRequests } from '../../common/UnfinishedRequests.js'
import type { IClockService, ILogService, IService } from '../../common/Services.js'
import type { IEvent, NetworkAddress, RequestId } from '../../common/Types.js'
import { HttpInbound } from '../../gate/HttpInbound.js'
import { CALLER_MALFORMED, RESPONSE_DROPPED } from '../Events.js'
import { decodeCall, encodeLoad, encodeOutcome, NODE_HEADER, type INodeResponse } from '../exchange/CallCodec.js'
import { SETTLE_REPLY_HEADER, type SettleReply } from '../exchange/NodeQueries.js'
import type { RequestBodyBudget } from '../exchange/RequestBodyBudget.js'
import { RequestBodyReader } from '../exchange/RequestBodyReader.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import type { IMessageFormat } from '../Services.js'
import type { IMeshCall } from '../Types.js'
import type { EndpointGate } from './EndpointGate.js'

/** Dependencies and address of the server. */
export interface IGateServerOptions {
  readonly gate: EndpointGate
  readonly format: IMessageFormat
  readonly address: NetworkAddress
  /** Identifies this process, so that other nodes detect a restart. */
  readonly processToken: string
  readonly clock: IClockService
  readonly log: ILogService
  /** Limits the memory of responses that other nodes have not read; without it they are not limited together. */
  readonly responseBuffers?: ResponseBufferBudget
  /** Limits the memory of request bodies. */
  readonly requestBodies: RequestBodyBudget
}

/** Idle timeout of connections; longer than that of other nodes, so that they close an idle connection first. */
const KEEP_ALIVE_MS = 120_000
const MAXIMUM_HEAD_BYTES = 65_536
const NO_BODY = Buffer.alloc(0)

/** Passes calls to the gate; responds to probes, and to settle queries about the outcome of requests. */
export class GateServer implements IService {
  private readonly _onPeerRequest = new Emitter<string>()
  private readonly _server: Server
  private readonly _unfinished = new UnfinishedRequests()
  private readonly _bodies: RequestBodyReader
  private _inFlight = 0

  constructor (private readonly _options: IGateServerOptions) {
    this._bodies = new RequestBodyReader({ ..._options, budget: _options.requestBodies, step: 'gate.body' })
    this._server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, maxHeaderSize: MAXIMUM_HEAD_BYTES, noDelay: true })
    this._server.on('request', (message: IncomingMessage, response: ServerResponse) => {
      this._serve(message, response).catch((error: unknown) => {
        _options.log.log(CALLER_MALFORMED, { step: 'gate.serve', peer: message.socket.remoteAddress, reason: String(error) })
        response.destroy()
      })
    })
  }

  /** Fires on each request with the RPC address of the node that sent it. */
  public get onPeerRequest (): IEvent<string> {
    return this._onPeerRequest.event
  }

  /** Number of calls without a complete response. */
  public get inFlight (): number {
    return this._inFlight
  }

  public async start (): Promise<void> {
    await listenAt(this._server, this._options.address)
  }

  public async stop (): Promise<void> {
    await closeAfterPendingInput(this._server, () => this.inFlight)
  }

  private async _serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    this._unfinished.add(response)
    if (this._unfinished.hasTooMany(message.socket)) return this._respond(response, encodeOutcome({ kind: 'refused', reason: 'overloaded' }))
    const peer = message.headers[NODE_HEADER.peer]
    if (typeof peer === 'string') this._onPeerRequest.fire(peer)
    switch (message.headers[NODE_HEADER.purpose]) {
      case 'probe': return this._respondToProbe(response)
      case 'settle': return this._respondToSettle(message, response)
      default: return await this._serveCountedCall(message, response)
    }
  }

  /** Counts a call as in flight until its outcome is known, since it may still run after the calling node has disconnected. */
  private async _serveCountedCall (message: IncomingMessage, response: ServerResponse): Promise<void> {
    this._inFlight++
    const closed = once(response, 'close')
    try {
      await this._serveCall(message, response)
      await closed
    } finally {
      this._inFlight--
    }
  }

  private async _serveCall (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const inbound = new HttpInbound(message, response)
    const head = this._readHead(inbound)
    if (head === undefined) return this._respondToMalformed(message, response)
    const limits = { maximumBytes: this._options.requestBodies.largestBody, deadlineAt: head.deadlineAt }
    const body = await this._bodies.read(inbound, limits, head.callerRequestId)
    if (body.kind === 'incomplete') return this._respondToMalformed(message, response)
    if (body.kind !== 'whole') return this._respond(response, encodeOutcome({ kind: 'refused', reason: 'overloaded' }))
    try {
      await waitForPendingInput()
      const outcome = await this._options.gate.execute({ ...head, body: body.content }, inbound)
      this._respond(response, encodeOutcome(outcome))
    } finally {
      body.release()
    }
  }

  private _respondToMalformed (message: IncomingMessage, response: ServerResponse): void {
    this._options.log.log(CALLER_MALFORMED, { step: 'gate.decode', peer: message.socket.remoteAddress })
    this._respond(response, encodeOutcome({ kind: 'refused', reason: 'cancelled' }))
  }

  /** The call without its body; undefined if it is malformed. */
  private _readHead (inbound: HttpInbound): IMeshCall | undefined {
    const { clock, format } = this._options
    return decodeCall({
      method: inbound.method,
      path: inbound.path,
      headers: inbound.headers,
      callerRequestId: format.callerRequestId(inbound.headers),
      fields: format.forwardedFields(inbound.receivedFields),
      body: undefined
    }, clock.now())
  }

  private _respondToProbe (response: ServerResponse): void {
    const now = this._options.clock.now()
    this._respond(response, { status: 200, fields: [NODE_HEADER.load, encodeLoad(this._options.gate.load(now, now))], body: NO_BODY })
  }

  /** The token shows whether the request was sent to this process or to an earlier one at the same address. */
  private _respondToSettle (message: IncomingMessage, response: ServerResponse): void {
    const { gate, clock, processToken } = this._options
    const requestId = message.headers[NODE_HEADER.requestId]
    const isThisProcess = message.headers[NODE_HEADER.processToken] === processToken
    const now = clock.now()
    const state: SettleReply = isThisProcess && typeof requestId === 'string' ? gate.settle(requestId as RequestId, now) : 'other-process'
    const fields = [SETTLE_REPLY_HEADER, state, NODE_HEADER.load, encodeLoad(gate.load(now, now))]
    this._respond(response, { status: 200, fields, body: NO_BODY })
  }

  private _respond (response: ServerResponse, content: INodeResponse): void {
    const { log, responseBuffers } = this._options
    const bytes = content.body.byteLength
    responseBuffers?.countUntilSent(response, bytes, () => log.log(RESPONSE_DROPPED, { step: 'gate.answer', peer: response.req.socket.remoteAddress, bytes }))
    if (response.destroyed) return
    response.sendDate = false
    response.writeHead(content.status, [
      ...content.fields, NODE_HEADER.processToken, this._options.processToken, 'content-length', String(content.body.byteLength)
    ])
    response.end(content.body)
  }
}
