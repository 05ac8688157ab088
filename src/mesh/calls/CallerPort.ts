/** HTTP port for callers on this VM, including the local endpoint when it calls other services. */
import { Histogram } from 'prom-client'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { closeAfterPendingInput, listenAt } from '../../common/Listening.js'
import { waitForPendingInput } from '../../common/PendingInput.js'
import type { ILogService, IMetricsService, IService } from '../../common/Services.js'
import type { Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import { HeaderRules } from '../../gate/HeaderRules.js'
import { HttpInbound } from '../../gate/HttpInbound.js'
import { CALL_FINISHED, CALL_UNROUTED, CALLER_MALFORMED, RESPONSE_DROPPED } from '../Events.js'
import { BODILESS_STATUSES } from '../exchange/HttpExchange.js'
import type { RequestBodyBudget } from '../exchange/RequestBodyBudget.js'
import { RequestBodyReader } from '../exchange/RequestBodyReader.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import type { IConfigurationService, ILocalService, IMessageFormat, IStopBounds } from '../Services.js'
import type { ICallerLimits, IMeshRoute } from '../Types.js'
import type { WeightedSplit } from '../configuration/WeightedSplit.js'
import { CallTermination } from './CallTermination.js'
import { CallerConnections } from './CallerConnections.js'
import { CallTask, type CallResult, type ICallServices } from './CallTask.js'

/** Dependencies and address of the port. */
export interface ICallerPortOptions extends ICallServices {
  readonly address: NetworkAddress
  readonly configuration: IConfigurationService
  /** Traffic split of routes with several services. */
  readonly split: WeightedSplit
  readonly format: IMessageFormat
  /** False until the node has the configuration and the node table. */
  readonly isReady: () => boolean
  /** When the view was last confirmed by the store or by a node that reads the store. */
  readonly viewConfirmedAt: () => Timestamp
  /** Undefined while the service of this VM is not known. */
  readonly localService: () => ILocalService | undefined
  readonly log: ILogService
  readonly metrics: IMetricsService
  /** Limits the memory of responses that callers have not read. */
  readonly responseBuffers: ResponseBufferBudget
  /** Limits the memory of request bodies. */
  readonly requestBodies: RequestBodyBudget
}

/** Retry delay that is stated to a caller while the node is starting or stopping. */
const UNAVAILABLE_RETRY_AFTER_MS = 500 as Milliseconds
/** Retry delay that is stated to a caller whose request body does not fit into memory: about the time for which another body is held. */
const NO_MEMORY_RETRY_AFTER_MS = 1_000 as Milliseconds
/** Time in which the rest of a refused body is read and discarded: a caller that is still sending would lose the response to a reset. */
const DISCARD_TIME_MS = 5_000 as Milliseconds
/** Maximum size of a request head; includes the request line in addition to the header fields that the configuration allows. */
const MAXIMUM_HEAD_BYTES = 65_536
const MAXIMUM_FIELDS = 200
/** Maximum number of logged characters of the path of an unrouted request. */
const MAXIMUM_LOGGED_PATH = 200
const CONNECTION_CHECK_INTERVAL_MS = 1_000
const MILLISECONDS_PER_SECOND = 1_000
const LATENCY_BUCKETS_SECONDS = [0.01, 0.03, 0.1, 0.2, 0.4, 0.6, 0.8, 1.2, 2, 4]
/** Error code of Node.js for a request head that was not received in time. */
const HEAD_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
const STATUS = Object.freeze({ malformed: 400, noRoute: 404, tooLarge: 413, unknown: 502, refused: 503, timeout: 504 })

/** Accepts requests, matches their routes, and writes the final responses. */
export class CallerPort implements IService {
  private readonly _server: Server
  private readonly _rules: HeaderRules
  private readonly _latency: Histogram
  private readonly _connections = new CallerConnections()
  private readonly _bodies: RequestBodyReader
  private readonly _termination: CallTermination
  /** Undefined unless a planned stop is in progress. */
  private _stopBounds: IStopBounds | undefined
  private _isRefusing = false

  constructor (private readonly _options: ICallerPortOptions) {
    this._rules = new HeaderRules({
      maximumBytes: MAXIMUM_HEAD_BYTES,
      maximumFields: MAXIMUM_FIELDS,
      maximumTargetBytes: MAXIMUM_HEAD_BYTES,
      singleFields: _options.format.singleFields
    })
    this._termination = new CallTermination(_options.clock)
    this._bodies = new RequestBodyReader({ ..._options, budget: _options.requestBodies, step: 'caller.body' })
    this._server = createServer({
      requestTimeout: 0, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS, maxHeaderSize: MAXIMUM_HEAD_BYTES, noDelay: true
    })
    this._server.on('request', (message: IncomingMessage, response: ServerResponse) => this._onRequest(message, response))
    this._server.on('clientError', (error: Error & { code?: string }, socket: Socket) => this._onClientError(error, socket))
    this._server.on('timeout', (socket: Socket) => {
      this._closeUnlessRequestReceived(socket).catch(() => socket.destroy())
    })
    this._server.on('connect', (_message: IncomingMessage, socket: Socket) => socket.destroy())
    _options.configuration.onReplaced(({ configuration }) => {
      this._applyLimits(configuration.limits)
      this._options.split.retain(new Set(configuration.routes.map((route) => route.name)))
    })
    this._latency = new Histogram({
      name: 'savoryknot_call_seconds',
      help: 'Time of requests of callers to their final answer, by outcome and rank. Unit: seconds.',
      labelNames: ['outcome', 'rank'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [_options.metrics.registry]
    })
  }

  /** Number of requests without a complete response. */
  public get inFlight (): number {
    return this._connections.inFlight
  }

  public async start (): Promise<void> {
    await listenAt(this._server, this._options.address)
  }

  /** From now on responses ask callers to close their connections, and the deadlines of new requests are limited by `bounds`. */
  public startDraining (bounds: IStopBounds): void {
    this._stopBounds = bounds
  }

  /** From now on refuses new requests as not run; accepted requests continue. */
  public refuseNewRequests (): void {
    this._isRefusing = true
  }

  /** Responds to the remaining requests: with a refusal if they did not run, otherwise with the status of an unknown outcome. */
  public terminateRemaining (): void {
    this._termination.start()
  }

  public async stop (): Promise<void> {
    await closeAfterPendingInput(this._server, () => this.inFlight)
  }

  private _applyLimits (limits: ICallerLimits): void {
    this._server.keepAliveTimeout = limits.idleTimeout
    this._server.headersTimeout = limits.headerTimeout
  }

  private _onRequest (message: IncomingMessage, response: ServerResponse): void {
    const { socket } = message
    if (!this._connections.tryRegister(response)) {
      // Further requests get no response either, and would be kept until the connection closes.
      socket.pause()
      this._options.log.log(CALLER_MALFORMED, { step: 'caller.request', peer: socket.remoteAddress, reason: 'request was sent after the response that closes the connection' })
      return
    }
    this._serve(message, response).catch((error: unknown) => {
      this._options.log.log(CALLER_MALFORMED, { step: 'caller.serve', peer: socket.remoteAddress, reason: String(error) })
      response.destroy()
    })
  }

  private async _serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { configuration, clock, format } = this._options
    const arrivedAt = clock.now()
    const requestId = format.callerRequestId(message.headers)
    if (this._connections.hasTooManyRequests(message.socket)) return this._refusePipelined(message, response, requestId)
    const fault = this._rules.faultOf(message)
    if (fault !== undefined) return this._refuseMalformed(message, response, fault)
    const index = configuration.current
    if (index === undefined || !this._options.isReady() || this._isRefusing) return this._refuseUnavailable(message, response, requestId)
    const localService = this._options.localService()
    if (localService === undefined) return this._refuseUnavailable(message, response, requestId)
    const inbound = new HttpInbound(message, response)
    const route = index.match(message.headers.host ?? '', inbound.path)
    if (route === undefined) return this._refuseUnrouted(message, response, requestId, arrivedAt)
    const timeout = Math.min(route.timeout, format.callerTimeout(message.headers) ?? route.timeout)
    const latestAt = arrivedAt + timeout as Timestamp
    const bodyDeadlineAt = this._deadlineOf(latestAt)
    if (bodyDeadlineAt === undefined) return this._refuseUnavailable(message, response, requestId)
    const maximumBytes = index.configuration.limits.bodyBytes
    const body = await this._bodies.read(inbound, { maximumBytes, deadlineAt: bodyDeadlineAt }, requestId)
    if (body.kind === 'too-large') return this._refuse(message, response, STATUS.tooLarge, requestId)
    if (body.kind === 'no-memory') return this._refuseForMemory(message, response, requestId)
    if (body.kind === 'incomplete') return this._refuseUnavailable(message, response, requestId)
    try {
      await waitForPendingInput()
      // A planned stop may have started or reached its next step while the body was being received.
      const deadlineAt = this._deadlineOf(latestAt)
      if (deadlineAt === undefined) return this._refuseUnavailable(message, response, requestId)
      await this._route({ message, response, inbound, route, requestId, body: body.content, arrivedAt, deadlineAt, localService })
    } finally {
      body.release()
    }
  }

  /** The deadline of a request that arrives now; undefined if the request must be refused. */
  private _deadlineOf (latestAt: Timestamp): Timestamp | undefined {
    if (this._isRefusing) return undefined
    return this._stopBounds === undefined ? latestAt : this._stopBounds.deadlineOf(latestAt, this._options.clock.now())
  }

  private async _route (accepted: IAcceptedRequest): Promise<void> {
    const { message, response, inbound, route, requestId, body, arrivedAt, deadlineAt, localService } = accepted
    const task = new CallTask(this._options, {
      route,
      service: this._options.split.choose(route),
      callerRequestId: requestId,
      callerService: localService.name,
      method: inbound.method,
      path: inbound.path,
      fields: this._options.format.forwardedFields(inbound.receivedFields),
      body,
      arrivedAt,
      deadlineAt,
      cancellation: inbound,
      isStopping: () => this._termination.hasStarted
    })
    let disconnectedAt = inbound.isCancelled ? this._options.clock.now() : undefined
    const subscription = inbound.onCancelled(() => { disconnectedAt ??= this._options.clock.now() })
    const result = await this._termination.resultOf(task.run())
    subscription.dispose()
    if (inbound.isCancelled) disconnectedAt ??= this._options.clock.now()
    this._logResult(accepted, task, result, disconnectedAt)
    this._writeResult(message, response, requestId, result)
  }

  private _writeResult (message: IncomingMessage, response: ServerResponse, requestId: string | undefined, result: CallResult): void {
    if (result.kind === 'refused') return this._refuse(message, response, STATUS.refused, requestId, result.retryAfter)
    if (result.kind === 'unknown') return this._refuse(message, response, result.reason === 'deadline' ? STATUS.timeout : STATUS.unknown, requestId)
    if (response.destroyed) return
    const { status, fields, body } = result.answer
    this._options.responseBuffers.countUntilSent(response, body.byteLength, () => {
      this._options.log.log(RESPONSE_DROPPED, { step: 'caller.answer', peer: message.socket.remoteAddress, request: requestId, bytes: body.byteLength })
    })
    if (response.destroyed) return
    const length = BODILESS_STATUSES.includes(status) ? [] : ['content-length', String(body.byteLength)]
    response.writeHead(status, [...fields, ...length, ...this._closingFields(response)])
    response.end(body)
  }

  /** Refuses a request as not run because the node is starting or stopping or the body was not received in time. */
  private _refuseUnavailable (message: IncomingMessage, response: ServerResponse, requestId: string | undefined): void {
    this._refuse(message, response, STATUS.refused, requestId, UNAVAILABLE_RETRY_AFTER_MS)
  }

  /**
   * Refuses a request as not run because too many requests of its connection wait for their responses. Node.js stops reading the connection
   * while refusals wait to be sent.
   */
  private _refusePipelined (message: IncomingMessage, response: ServerResponse, requestId: string | undefined): void {
    const isBodyUnread = new HttpInbound(message, response).body !== undefined
    this._refuse(message, response, STATUS.refused, requestId, UNAVAILABLE_RETRY_AFTER_MS, isBodyUnread)
  }

  /** Refuses a request as not run whose body does not fit into memory. The connection is usable again once the rest has arrived. */
  private _refuseForMemory (message: IncomingMessage, response: ServerResponse, requestId: string | undefined): void {
    this._refuse(message, response, STATUS.refused, requestId, NO_MEMORY_RETRY_AFTER_MS, false)
    const { socket } = message
    const timer = this._options.clock.after(DISCARD_TIME_MS, () => { if (!message.complete) socket.destroy() })
    message.once('close', () => timer.dispose())
  }

  private _refuse (
    message: IncomingMessage, response: ServerResponse, status: number, requestId: string | undefined, retryAfter?: Milliseconds,
    isBodyUnread = !message.complete
  ): void {
    if (response.destroyed) return
    const fields = [...this._options.format.refusalFields(requestId, retryAfter), 'content-length', '0']
    // The unread rest of a body must not be parsed as the next request.
    const closing = isBodyUnread ? this._connections.closeAfter(response) : this._closingFields(response)
    response.writeHead(status, [...fields, ...closing])
    response.end()
  }

  private _refuseUnrouted (message: IncomingMessage, response: ServerResponse, requestId: string | undefined, now: Timestamp): void {
    const { configuration, log, viewConfirmedAt } = this._options
    log.log(CALL_UNROUTED, {
      step: 'caller.route',
      request: requestId,
      host: message.headers.host,
      path: message.url?.slice(0, MAXIMUM_LOGGED_PATH),
      configuration: configuration.version,
      viewAgeMs: now - viewConfirmedAt()
    })
    this._refuse(message, response, STATUS.noRoute, requestId)
  }

  private _refuseMalformed (message: IncomingMessage, response: ServerResponse, fault: string): void {
    this._options.log.log(CALLER_MALFORMED, { step: 'caller.request', peer: message.socket.remoteAddress, reason: fault })
    this._refuse(message, response, STATUS.malformed, undefined)
  }

  private _closingFields (response: ServerResponse): readonly string[] {
    // Node.js does not parse what follows a request that offers an upgrade.
    const isKept = this._stopBounds === undefined && response.req.headers.upgrade === undefined
    return isKept ? NO_FIELDS : this._connections.closeAfterIfNewest(response)
  }

  /** Handles a parser error. While a request of the connection is in progress, nothing may be written that looks like its response. */
  private _onClientError (error: Error & { code?: string }, socket: Socket): void {
    if (error.code === HEAD_TIMEOUT_CODE) {
      this._closeUnlessHeadReceived(socket).catch(() => socket.destroy())
      return
    }
    if (error.code !== 'ECONNRESET') {
      this._options.log.log(CALLER_MALFORMED, { step: 'caller.parse', peer: socket.remoteAddress, reason: error.message })
    }
    this._closeWithStatus(socket, error.code === 'HPE_HEADER_OVERFLOW' ? '431 Request Header Fields Too Large' : '400 Bad Request')
  }

  /**
   * The timeout of the server is based on the clock alone. If the event loop was delayed, the head may have arrived in time and be unread.
   */
  private async _closeUnlessHeadReceived (socket: Socket): Promise<void> {
    const newest = this._connections.newestResponse(socket)
    await waitForPendingInput()
    if (this._connections.newestResponse(socket) !== newest) return
    this._options.log.log(CALLER_MALFORMED, { step: 'caller.parse', peer: socket.remoteAddress, reason: 'request head was not received in time' })
    // Requests that arrive after the 408 response must not run.
    this._connections.ignoreFurtherRequests(socket)
    this._closeWithStatus(socket, '408 Request Timeout')
  }

  /**
   * Closes a connection that has been idle for the idle timeout. The timer runs before pending input is read, so after a delay of the
   * event loop a request may have arrived in time and be unread.
   */
  private async _closeUnlessRequestReceived (socket: Socket): Promise<void> {
    const { bytesRead } = socket
    await waitForPendingInput()
    // Received bytes start a new request, whose head has a timeout of its own.
    if (socket.bytesRead === bytesRead && !this._connections.isBusy(socket)) socket.destroy()
  }

  private _closeWithStatus (socket: Socket, status: string): void {
    if (!socket.writable || this._connections.isBusy(socket) || socket.bytesWritten > 0) {
      socket.destroy()
      return
    }
    socket.end(`HTTP/1.1 ${status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n`)
  }

  private _logResult (
    { route, requestId, arrivedAt, localService }: IAcceptedRequest, task: CallTask, result: CallResult, disconnectedAt?: Timestamp
  ): void {
    const { clock, configuration, directory, log, viewConfirmedAt } = this._options
    const now = clock.now()
    const duration = now - arrivedAt
    const outcome = disconnectedAt === undefined ? result.kind : 'cancelled'
    this._latency.observe({ outcome, rank: String(route.rank) }, duration / MILLISECONDS_PER_SECOND)
    log.log(CALL_FINISHED, {
      step: 'caller.answer',
      request: requestId,
      route: route.name,
      callerService: localService.name,
      callerServiceFrom: localService.source,
      configuration: configuration.version,
      viewPosition: directory.position,
      viewAgeMs: now - viewConfirmedAt(),
      outcome,
      status: result.kind === 'answered' ? result.answer.status : undefined,
      reason: result.kind === 'answered' ? undefined : result.reason,
      retryAfter: result.kind === 'refused' ? result.retryAfter : undefined,
      endpoint: task.lastEndpoint,
      tries: task.tries,
      attempts: task.records,
      leftAfterMs: disconnectedAt === undefined ? undefined : disconnectedAt - arrivedAt,
      durationMs: duration
    })
  }
}

/** A request whose head and body were read. */
interface IAcceptedRequest {
  readonly message: IncomingMessage
  readonly response: ServerResponse
  readonly inbound: HttpInbound
  readonly route: IMeshRoute
  readonly requestId: string | undefined
  readonly body: Buffer | undefined
  readonly arrivedAt: Timestamp
  readonly deadlineAt: Timestamp
  /** Service of this VM when the request was accepted. */
  readonly localService: ILocalService
}

const NO_FIELDS: readonly string[] = Object.freeze([])
