/** HTTP server for calls and questions of other nodes. */
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Emitter } from '../../common/Emitter.js'
import { closeOnceRead, listenAt } from '../../common/Listening.js'
import { pendingInputRead } from '../../common/PendingInput.js'
import type { IClockService, ILogService, IService } from '../../common/Services.js'
import type { IEvent, NetworkAddress, RequestId } from '../../common/Types.js'
import { HttpInbound } from '../../gate/HttpInbound.js'
import { readBodyStartByDeadline } from '../../gate/BodyStart.js'
import { CALLER_MALFORMED } from '../Events.js'
import { decodeCall, encodeLoad, encodeOutcome, INNER_HEADER, type IInnerAnswer } from '../exchange/CallCodec.js'
import { SETTLE_ANSWER, type SettleReply } from '../exchange/NodeQuestions.js'
import { MAXIMUM_BODY_BYTES } from '../exchange/HttpExchange.js'
import type { IMessageFormat } from '../Services.js'
import type { IMeshCall } from '../Types.js'
import type { EndpointGate } from './EndpointGate.js'

/** What the server needs. */
export interface IGateServerOptions {
  readonly gate: EndpointGate
  readonly format: IMessageFormat
  readonly address: NetworkAddress
  /** Identity of this process, by which others notice a restart. */
  readonly processToken: string
  readonly clock: IClockService
  readonly log: ILogService
}

/** Longer than other nodes keep an unused connection. */
const KEEP_ALIVE_MS = 120_000
const MAXIMUM_HEAD_BYTES = 65_536
const NO_BODY = Buffer.alloc(0)

/** Hands calls to the gate; answers probes and questions about the fate of requests. */
export class GateServer implements IService {
  private readonly _onPeer = new Emitter<string>()
  private readonly _server: Server
  private _inFlight = 0

  constructor (private readonly _options: IGateServerOptions) {
    this._server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0, maxHeaderSize: MAXIMUM_HEAD_BYTES, noDelay: true })
    this._server.on('request', (message: IncomingMessage, response: ServerResponse) => {
      this._serve(message, response).catch((error: unknown) => {
        _options.log.log(CALLER_MALFORMED, { step: 'gate.serve', peer: message.socket.remoteAddress, reason: String(error) })
        response.destroy()
      })
    })
  }

  /** Fires with the RPC address of each node that asks. */
  public get onPeer (): IEvent<string> {
    return this._onPeer.event
  }

  /** Requests that have no whole answer yet. */
  public get inFlight (): number {
    return this._inFlight
  }

  public async start (): Promise<void> {
    await listenAt(this._server, this._options.address)
  }

  public async stop (): Promise<void> {
    await closeOnceRead(this._server, () => this.inFlight)
  }

  private async _serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const peer = message.headers[INNER_HEADER.peer]
    if (typeof peer === 'string') this._onPeer.fire(peer)
    switch (message.headers[INNER_HEADER.purpose]) {
      case 'probe': return this._answerProbe(response)
      case 'settle': return this._answerSettle(message, response)
      default: return await this._countCall(message, response)
    }
  }

  /** A call whose asker has gone may still run, and ends with its outcome. */
  private async _countCall (message: IncomingMessage, response: ServerResponse): Promise<void> {
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
    const call = await this._readCall(inbound)
    if (call === undefined) {
      this._options.log.log(CALLER_MALFORMED, { step: 'gate.decode', peer: message.socket.remoteAddress })
      return this._write(response, encodeOutcome({ kind: 'refused', reason: 'cancelled' }))
    }
    await pendingInputRead()
    const outcome = await this._options.gate.execute(call, inbound)
    this._write(response, encodeOutcome(outcome))
  }

  /** Undefined if the call is malformed or its body did not come whole. */
  private async _readCall (inbound: HttpInbound): Promise<IMeshCall | undefined> {
    const { clock, format } = this._options
    const arrivedAt = clock.now()
    const parts = {
      method: inbound.method,
      path: inbound.path,
      headers: inbound.headers,
      callerRequestId: format.callerRequestId(inbound.headers),
      fields: format.forwardedFields(inbound.headers)
    }
    const head = decodeCall({ ...parts, body: undefined }, arrivedAt)
    if (head === undefined || inbound.body === undefined) return head
    const start = await readBodyStartByDeadline(inbound.body, MAXIMUM_BODY_BYTES, head.deadlineAt, clock)
    return start?.isWhole === true ? { ...head, body: start.content } : undefined
  }

  private _answerProbe (response: ServerResponse): void {
    const now = this._options.clock.now()
    this._write(response, { status: 200, fields: [INNER_HEADER.load, encodeLoad(this._options.gate.load(now, now))], body: NO_BODY })
  }

  /** The token tells whether the request in question was sent to this process at all. */
  private _answerSettle (message: IncomingMessage, response: ServerResponse): void {
    const { gate, clock, processToken } = this._options
    const requestId = message.headers[INNER_HEADER.requestId]
    const isThisProcess = message.headers[INNER_HEADER.processToken] === processToken
    const now = clock.now()
    const state: SettleReply = isThisProcess && typeof requestId === 'string' ? gate.settle(requestId as RequestId, now) : 'other-process'
    const fields = [SETTLE_ANSWER, state, INNER_HEADER.load, encodeLoad(gate.load(now, now))]
    this._write(response, { status: 200, fields, body: NO_BODY })
  }

  private _write (response: ServerResponse, answer: IInnerAnswer): void {
    if (response.destroyed) return
    response.sendDate = false
    response.writeHead(answer.status, [
      ...answer.fields, INNER_HEADER.processToken, this._options.processToken, 'content-length', String(answer.body.byteLength)
    ])
    response.end(answer.body)
  }
}
