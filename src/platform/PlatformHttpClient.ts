/** Sends requests to a platform over HTTP and classifies failures. */
import type { SecureContextOptions } from 'node:tls'
import { Histogram } from 'prom-client'
import { Agent, type Dispatcher } from 'undici'
import { ByteCollector } from '../common/ByteCollector.js'
import type { IClockService, ILogService, IMetricsService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import { ResponseTimeout, type IResponseLimits } from './ResponseTimeout.js'
import { PLATFORM_RESPONSE_LOST, PLATFORM_AVAILABLE, PLATFORM_UNAVAILABLE } from './Events.js'
import { OutcomeUnknownError, PlatformUnavailableError } from './PlatformErrors.js'

/** Options of `PlatformHttpClient`. */
export interface IPlatformHttpOptions {
  /** For example `http://10.0.0.2:7500`; a path in it becomes the prefix of the paths of requests. */
  readonly url: string
  /** Timeout for opening a connection. */
  readonly connectTimeout: Milliseconds
  /** Timeout for a complete request and its response. */
  readonly requestTimeout: Milliseconds
  /** For requests with their own `startTimeout`: timeout between two chunks of the response. */
  readonly responseIdleTimeout: Milliseconds
  /** For requests with their own `startTimeout`: timeout for the request and its response, in addition to `startTimeout`. */
  readonly responseBodyTimeout: Milliseconds
  /** Maximum number of open connections. */
  readonly connections: number
  /** TLS keys and certificates for `https`. */
  readonly tls?: SecureContextOptions
}

/** Defaults of `PlatformHttpClient`; the URL has none. */
export const DEFAULT_PLATFORM_HTTP_OPTIONS: Omit<IPlatformHttpOptions, 'url'> = Object.freeze({
  connectTimeout: 1_000 as Milliseconds,
  requestTimeout: 3_000 as Milliseconds,
  responseIdleTimeout: 1_000 as Milliseconds,
  responseBodyTimeout: 10_000 as Milliseconds,
  connections: 8
})

/** Dependencies of `PlatformHttpClient`. */
export interface IPlatformHttpServices {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
}

/** One request to the platform. */
export interface IPlatformRequest {
  /** Name of the operation in errors and metrics, for example `platform.transact`. */
  readonly step: string
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
  /** True if the request writes, so that it may have taken effect although its response was lost. */
  readonly isWrite: boolean
  /**
   * Timeout until the response starts; `responseIdleTimeout` and `responseBodyTimeout` apply from then on.
   * Default: `requestTimeout` for all.
   */
  readonly startTimeout?: Milliseconds
}

/** Complete response of the platform. */
export interface IPlatformResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

const METRIC_NAME = 'savoryknot_platform_request_seconds'
const MILLISECONDS_PER_SECOND = 1_000
const LATENCY_BUCKETS_SECONDS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10]
const FAILURES_UNTIL_UNAVAILABLE = 3
/** Maximum size of a response body, in bytes. */
const MAXIMUM_RESPONSE_BYTES = 67_108_864
/** Codes of errors that occur before any byte of the request was sent. */
const CONNECT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']
/** Not found, history lost, condition failed: returned as responses, for the caller to handle. */
const EXPECTED_ERROR_STATUSES = [404, 410, 412]
/** Statuses by which the platform states that it did not execute the request. */
const NOT_EXECUTED_STATUSES = [429, 503]

/** HTTP client shared by the table service and the object store. */
export class PlatformHttpClient {
  private readonly _options: IPlatformHttpOptions
  private readonly _services: IPlatformHttpServices
  private readonly _latency: Histogram
  private readonly _dispatcher: Dispatcher
  private readonly _origin: string
  private readonly _prefix: string
  private _isAvailable = true
  private _failures = 0

  constructor (services: IPlatformHttpServices, options: Pick<IPlatformHttpOptions, 'url'> & Partial<IPlatformHttpOptions>) {
    this._services = services
    this._options = { ...DEFAULT_PLATFORM_HTTP_OPTIONS, ...options }
    const { origin, pathname } = new URL(this._options.url)
    this._origin = origin
    this._prefix = pathname.replace(/\/$/, '')
    this._dispatcher = this._createDispatcher()
    this._latency = this._createHistogram()
  }

  /** Closes idle connections at once, and the others after their requests have finished. */
  public async stop (): Promise<void> {
    await this._dispatcher.close()
  }

  /** Resolves for statuses below 400 and for 404, 410 and 412; else rejects with `PlatformUnavailableError` or `OutcomeUnknownError`. */
  public async request (request: IPlatformRequest): Promise<IPlatformResponse> {
    const startedAt = this._services.clock.now()
    let outcome = 'answered'
    try {
      const response = await this._send(request)
      this._recordSuccess(request.step)
      return response
    } catch (error) {
      outcome = error instanceof OutcomeUnknownError ? 'unknown' : 'unavailable'
      this._recordFailure(error, request.step)
      throw error
    } finally {
      const seconds = (this._services.clock.now() - startedAt) / MILLISECONDS_PER_SECOND
      this._latency.observe({ step: request.step, outcome }, seconds)
    }
  }

  private async _send (request: IPlatformRequest): Promise<IPlatformResponse> {
    const { method, headers, body, path } = request
    const timeout = new ResponseTimeout(this._services.clock, this._limitsOf(request))
    try {
      const response = await this._dispatcher.request({
        origin: this._origin,
        path: `${this._prefix}${path}`,
        method,
        headers,
        body,
        signal: timeout.signal
      })
      const collector = new ByteCollector()
      timeout.recordChunk()
      for await (const chunk of response.body) {
        timeout.recordChunk()
        collector.append(chunk as Buffer)
      }
      const complete = { status: response.statusCode, headers: response.headers, body: collector.content() }
      return this._checkStatus(request, complete)
    } catch (error) {
      throw this._classifyError(request, error)
    } finally {
      timeout.dispose()
    }
  }

  private _limitsOf ({ startTimeout }: IPlatformRequest): IResponseLimits {
    const { requestTimeout, responseIdleTimeout, responseBodyTimeout } = this._options
    if (startTimeout === undefined) return { start: requestTimeout, idle: requestTimeout, total: requestTimeout }
    return { start: startTimeout, idle: responseIdleTimeout, total: startTimeout + responseBodyTimeout as Milliseconds }
  }

  private _checkStatus (request: IPlatformRequest, response: IPlatformResponse): IPlatformResponse {
    const { status } = response
    if (status < 400 || EXPECTED_ERROR_STATUSES.includes(status)) return response
    const origin = { step: request.step, peer: this._origin }
    const isRefused = status < 500 || NOT_EXECUTED_STATUSES.includes(status)
    if (isRefused || !request.isWrite) throw new PlatformUnavailableError(`platform responded with status ${status}`, origin)
    throw new OutcomeUnknownError(`platform responded to a write with status ${status}`, origin)
  }

  private _classifyError (request: IPlatformRequest, cause: unknown): Error {
    if (cause instanceof PlatformUnavailableError || cause instanceof OutcomeUnknownError) return cause
    const origin = { step: request.step, peer: this._origin, cause }
    const text = cause instanceof Error ? cause.message : String(cause)
    if (!request.isWrite || isConnectError(cause)) return new PlatformUnavailableError(`platform is unreachable: ${text}`, origin)
    return new OutcomeUnknownError(`response of the platform was lost: ${text}`, origin)
  }

  private _recordSuccess (step: string): void {
    this._failures = 0
    if (this._isAvailable) return
    this._isAvailable = true
    this._services.log.log(PLATFORM_AVAILABLE, { step, peer: this._origin })
  }

  /** Reports the platform as unavailable only after consecutive failures, so that single failures do not flood the log. */
  private _recordFailure (error: unknown, step: string): void {
    const { log } = this._services
    const fields = { step, peer: this._origin, reason: error instanceof Error ? error.message : String(error) }
    if (error instanceof OutcomeUnknownError) log.log(PLATFORM_RESPONSE_LOST, fields)
    this._failures++
    if (!this._isAvailable || this._failures < FAILURES_UNTIL_UNAVAILABLE) return
    this._isAvailable = false
    log.log(PLATFORM_UNAVAILABLE, fields)
  }

  private _createDispatcher (): Dispatcher {
    const { connections, connectTimeout, tls } = this._options
    return new Agent({
      connections,
      connect: { ...tls, timeout: connectTimeout },
      // The abort signal of each request enforces the timeouts of the response.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAXIMUM_RESPONSE_BYTES
    })
  }

  private _createHistogram (): Histogram {
    const { registry } = this._services.metrics
    return new Histogram({
      name: METRIC_NAME,
      help: 'Time of requests to the platform, by step and outcome (answered, unavailable, unknown). Unit: seconds.',
      labelNames: ['step', 'outcome'],
      buckets: LATENCY_BUCKETS_SECONDS,
      registers: [registry]
    })
  }
}

/** True if the connection was never established, so that nothing was sent. */
function isConnectError (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  const { code } = error as NodeJS.ErrnoException
  if (code !== undefined && CONNECT_ERROR_CODES.includes(code)) return true
  return error instanceof AggregateError && error.errors.length > 0 && error.errors.every(isConnectError)
}
