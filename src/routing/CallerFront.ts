/** HTTP server for callers: programs outside the mesh and the upstreams on this VM. */
import { createServer as createPlainServer, type IncomingMessage, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createTlsServer } from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { SecureContextOptions } from 'node:tls'
import type { IClockService, ILogService, IService } from '../common/Services.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import { HeaderRules, type IHeaderRulesOptions } from '../gate/HeaderRules.js'
import { HttpResponseSink } from '../gate/HttpResponseSink.js'
import { HttpInbound } from '../gate/HttpInbound.js'
import { HEADER, type CallOutcome } from '../gate/Types.js'
import { CallerConnection } from './CallerConnection.js'
import { CALLER_REFUSED } from './Events.js'
import { InboundRequest } from './InboundRequest.js'
import { refusalResponse } from '../gate/Refusals.js'
import { ServiceResolver } from './ServiceResolver.js'
import type { IRouterService } from './Services.js'

/** Limits of connections and requests of callers. */
export interface ICallerFrontLimits {
  readonly headerRules: Partial<IHeaderRulesOptions>
  /** Time until the complete head of a request has arrived. */
  readonly headersTimeoutMs: number
  /** Time until the complete request, including its body, has arrived. */
  readonly requestTimeoutMs: number
  /** Time after which an idle connection is closed. */
  readonly keepAliveTimeoutMs: number
  readonly connectionLimit: number
  /** Maximum time that a stop waits for requests in flight; their connections are closed afterwards. */
  readonly stopTimeoutMs: number
  /** Value of `retry-after` on refusals that the caller may retry. */
  readonly retryAfterSeconds: number
}

/** Defaults of `CallerFront`. */
export const DEFAULT_CALLER_FRONT_LIMITS: ICallerFrontLimits = Object.freeze({
  headerRules: {},
  headersTimeoutMs: 5_000,
  requestTimeoutMs: 60_000,
  keepAliveTimeoutMs: 60_000,
  connectionLimit: 2_000,
  stopTimeoutMs: 30_000,
  retryAfterSeconds: 1
})

/** Dependencies, address and limits of `CallerFront`. */
export interface ICallerFrontOptions extends Partial<ICallerFrontLimits> {
  readonly router: IRouterService
  readonly host: string
  /** 0 selects any free port. */
  readonly port: number
  readonly clock: IClockService
  readonly log: ILogService
  readonly tls?: SecureContextOptions
}

/** Interval of the check for connections that exceed a timeout. */
const CONNECTION_CHECK_INTERVAL_MS = 1_000

/** Accepts HTTP/1.1 requests, passes them to the router, and writes responses and refusals. */
export class CallerFront implements IService {
  private readonly _options: ICallerFrontOptions & ICallerFrontLimits
  private readonly _rules: HeaderRules
  private readonly _serviceResolver = new ServiceResolver()
  private readonly _server: Server
  private readonly _connections = new WeakMap<Socket, CallerConnection>()
  private _inFlight = 0
  private _isStopping = false
  private _onIdle: (() => void) | undefined

  constructor (options: ICallerFrontOptions) {
    this._options = { ...DEFAULT_CALLER_FRONT_LIMITS, ...options }
    this._rules = new HeaderRules(this._options.headerRules)
    this._server = this._createServer()
  }

  /** Address on which the server listens. */
  public get address (): NetworkAddress {
    const { address, family, port } = this._server.address() as AddressInfo
    return (family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`) as NetworkAddress
  }

  /** Requests whose response is not complete. */
  public get inFlight (): number {
    return this._inFlight
  }

  public start (): Promise<void> {
    return new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this._options.port, this._options.host, () => {
        this._server.off('error', reject)
        resolve()
      })
    })
  }

  /** Stops accepting, finishes the requests in flight, then closes all connections. */
  public async stop (): Promise<void> {
    this._isStopping = true
    this._server.close()
    this._server.closeIdleConnections()
    if (this._inFlight > 0) await this._waitUntilIdle()
    this._server.closeAllConnections()
  }

  private _createServer (): Server {
    const { headersTimeoutMs, requestTimeoutMs, keepAliveTimeoutMs, connectionLimit, headerRules, tls } = this._options
    const settings: ServerOptions = {
      noDelay: true,
      insecureHTTPParser: false,
      requireHostHeader: false,
      headersTimeout: headersTimeoutMs,
      requestTimeout: requestTimeoutMs,
      keepAliveTimeout: keepAliveTimeoutMs,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      maxHeaderSize: headerRules.maximumBytes
    }
    const server = tls === undefined ? createPlainServer(settings) : createTlsServer({ ...tls, ...settings })
    server.maxConnections = connectionLimit
    server.on(tls === undefined ? 'connection' : 'secureConnection', (socket: Socket) => this._onConnection(socket))
    server.on('request', (message: IncomingMessage, response: ServerResponse) => this._onRequest(message, response))
    server.on('checkExpectation', (message: IncomingMessage, response: ServerResponse) => this._refuseMalformed(message, response, 'expectation'))
    server.on('upgrade', (_message: IncomingMessage, socket: Socket) => socket.destroy())
    server.on('connect', (_message: IncomingMessage, socket: Socket) => socket.destroy())
    server.on('clientError', (error: Error & { code?: string }, socket: Socket) => this._onClientError(error, socket))
    return server
  }

  private _onConnection (socket: Socket): void {
    const connection = new CallerConnection()
    this._connections.set(socket, connection)
    // Node.js emits no `close` on a pipelined response that is still queued when the connection closes.
    socket.once('close', () => this._release(connection, connection.inFlight))
  }

  private _onRequest (message: IncomingMessage, response: ServerResponse): void {
    const connection = this._connections.get(message.socket)
    if (connection === undefined || connection.isClosing) return
    const fault = findVersionFault(message) ?? this._rules.faultOf(message)
    const service = fault === undefined ? this._serviceResolver.resolve(message.headers) : undefined
    if (service === undefined) return this._refuseMalformed(message, response, fault ?? 'no service named')
    this._inFlight++
    connection.inFlight++
    response.once('close', () => this._release(connection, 1))
    const inbound = new HttpInbound(message, response)
    const sink = new HttpResponseSink({ response, additionalHeaders: () => this._responseFields() })
    this._options.router.route(new InboundRequest(service, inbound), sink, this._options.clock.now()).then((outcome) => {
      if (outcome.kind !== 'answered' && !sink.hasBegun) this._refuse(message, response, outcome)
    }, () => response.destroy())
  }

  private _release (connection: CallerConnection, count: number): void {
    const released = Math.min(count, connection.inFlight)
    connection.inFlight -= released
    this._inFlight -= released
    if (this._inFlight === 0) this._onIdle?.()
  }

  private _responseFields (): readonly string[] {
    return this._isStopping ? ANSWERED_AND_CLOSE_FIELDS : ANSWERED_FIELDS
  }

  private _refuse (message: IncomingMessage, response: ServerResponse, outcome: Exclude<CallOutcome, { kind: 'answered' }>): void {
    if (response.destroyed || response.headersSent) return
    const { status, isRetryable } = refusalResponse(outcome)
    const text = `${outcome.kind}: ${outcome.reason}\n`
    response.setHeader(HEADER.outcome, outcome.kind)
    response.setHeader(HEADER.reason, outcome.reason)
    response.setHeader('content-type', 'text/plain; charset=utf-8')
    response.setHeader('content-length', Buffer.byteLength(text))
    if (isRetryable) response.setHeader('retry-after', this._options.retryAfterSeconds)
    // The rest of an unread body must not be parsed as the next request.
    if (this._isStopping || !message.complete) this._closeAfterResponse(message, response)
    response.writeHead(status)
    response.end(text)
  }

  private _refuseMalformed (message: IncomingMessage, response: ServerResponse, cause: string): void {
    this._options.log.log(CALLER_REFUSED, { step: 'caller.request', peer: message.socket.remoteAddress, cause })
    this._closeAfterResponse(message, response)
    this._refuse(message, response, { kind: 'not-run', reason: 'malformed', step: 'caller.request' })
  }

  private _closeAfterResponse (message: IncomingMessage, response: ServerResponse): void {
    response.setHeader('connection', 'close')
    const connection = this._connections.get(message.socket)
    if (connection !== undefined) connection.isClosing = true
  }

  /**
   * Handles a parser error. While a request of the connection is in flight, no response is written, because the caller
   * would assign it to that request.
   */
  private _onClientError (error: Error & { code?: string }, socket: Socket): void {
    this._options.log.log(CALLER_REFUSED, { step: 'caller.parse', peer: socket.remoteAddress, cause: error.code })
    const hasRequestInFlight = (this._connections.get(socket)?.inFlight ?? 0) > 0
    if (!socket.writable || hasRequestInFlight || socket.bytesWritten > 0) {
      socket.destroy()
      return
    }
    const status = error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request'
    socket.end(`HTTP/1.1 ${status}\r\n${HEADER.outcome}: not-run\r\n${HEADER.reason}: malformed\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`)
  }

  private _waitUntilIdle (): Promise<void> {
    return new Promise((resolve) => {
      const timer = this._options.clock.after(this._options.stopTimeoutMs as Milliseconds, resolve)
      this._onIdle = () => {
        timer.dispose()
        resolve()
      }
    })
  }
}

const ANSWERED_FIELDS: readonly string[] = Object.freeze([HEADER.outcome, 'answered'])
const ANSWERED_AND_CLOSE_FIELDS: readonly string[] = Object.freeze([HEADER.outcome, 'answered', 'connection', 'close'])

function findVersionFault (message: IncomingMessage): string | undefined {
  if (message.httpVersionMajor !== 1) return 'not HTTP/1'
  return message.httpVersionMinor > 0 && message.headers.host === undefined ? 'no host' : undefined
}
