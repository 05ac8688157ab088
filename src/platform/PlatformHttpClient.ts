/** Sends requests to a platform over HTTP and sorts what can go wrong. */
import type { SecureContextOptions } from 'node:tls'
import { Histogram } from 'prom-client'
import { Agent, type Dispatcher } from 'undici'
import type { IClockService, ILogService, IMetricsService } from '../common/Services.js'
import type { Milliseconds } from '../common/Types.js'
import { AnswerTimeout, type IAnswerLimits } from './AnswerTimeout.js'
import { PLATFORM_ANSWER_LOST, PLATFORM_AVAILABLE, PLATFORM_UNAVAILABLE } from './Events.js'
import { OutcomeUnknownError, PlatformUnavailableError } from './PlatformErrors.js'

/** Where the platform is and how long it may take. */
export interface IPlatformHttpOptions {
  /** For example `http://10.0.0.2:7500`; a path is put before the paths of requests. */
  readonly url: string
  /** Time allowed to open a connection. */
  readonly connectTimeout: Milliseconds
  /** Time allowed for a request as a whole. */
  readonly requestTimeout: Milliseconds
  /** Time allowed between two parts of an answer, and for all of it once it has begun, for requests with a patience of their own. */
  readonly answerSilence: Milliseconds
  readonly answerTimeout: Milliseconds
  /** Most connections open at once. */
  readonly connections: number
  /** Keys for `https`. */
  readonly tls?: SecureContextOptions
}

/** Defaults of `PlatformHttpClient`, but for the address. */
export const DEFAULT_PLATFORM_HTTP_OPTIONS: Omit<IPlatformHttpOptions, 'url'> = Object.freeze({
  connectTimeout: 1_000 as Milliseconds,
  requestTimeout: 3_000 as Milliseconds,
  answerSilence: 1_000 as Milliseconds,
  answerTimeout: 10_000 as Milliseconds,
  connections: 8
})

/** What the client needs. */
export interface IPlatformHttpServices {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: IMetricsService
}

/** One request to the platform. */
export interface IPlatformRequest {
  /** For errors and metrics, for example `platform.transact`. */
  readonly step: string
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
  /** True if a repeat or a lost answer could change something. */
  readonly isWrite: boolean
  /** Time allowed until the answer begins; it may then go on while its parts keep coming. Without it the usual time holds for the whole. */
  readonly patience?: Milliseconds
}

/** The whole answer of the platform. */
export interface IPlatformAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly body: Buffer
}

const METRIC_NAME = 'savoryknot_platform_request_seconds'
const MILLISECONDS_PER_SECOND = 1_000
const LATENCY_BUCKETS_SECONDS = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1, 3, 10]
const FAILURES_UNTIL_UNAVAILABLE = 3
/** Largest answer read, in bytes. */
const MAXIMUM_ANSWER_BYTES = 67_108_864
/** Errors that arise before a byte of the request was sent. */
const CONNECT_ERROR_CODES = ['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT']
/** Not found, history lost, condition failed: for the caller to sort out. */
const ANSWERING_STATUSES = [404, 410, 412]
/** The platform says by these that it did nothing. */
const REFUSING_STATUSES = [429, 503]

/** One client serves the table service and the object store. */
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

  /** Ends idle connections; requests in flight are finished. */
  public async stop (): Promise<void> {
    await this._dispatcher.close()
  }

  /** Rejects with `PlatformUnavailableError` or `OutcomeUnknownError`; any status below 400, 404, 410 and 412 are answers. */
  public async request (request: IPlatformRequest): Promise<IPlatformAnswer> {
    const startedAt = this._services.clock.now()
    let outcome = 'answered'
    try {
      const answer = await this._send(request)
      this._noteAnswer(request.step)
      return answer
    } catch (error) {
      outcome = error instanceof OutcomeUnknownError ? 'unknown' : 'unavailable'
      this._noteFailure(error, request.step)
      throw error
    } finally {
      const seconds = (this._services.clock.now() - startedAt) / MILLISECONDS_PER_SECOND
      this._latency.observe({ step: request.step, outcome }, seconds)
    }
  }

  private async _send (request: IPlatformRequest): Promise<IPlatformAnswer> {
    const { method, headers, body, path } = request
    const timeout = new AnswerTimeout(this._services.clock, this._limitsOf(request))
    try {
      const response = await this._dispatcher.request({
        origin: this._origin,
        path: `${this._prefix}${path}`,
        method,
        headers,
        body,
        signal: timeout.signal
      })
      const parts: Buffer[] = []
      timeout.notePart()
      for await (const part of response.body) {
        timeout.notePart()
        parts.push(part as Buffer)
      }
      const answer = { status: response.statusCode, headers: response.headers, body: Buffer.concat(parts) }
      return this._checkStatus(request, answer)
    } catch (error) {
      throw this._sortError(request, error)
    } finally {
      timeout.dispose()
    }
  }

  private _limitsOf ({ patience }: IPlatformRequest): IAnswerLimits {
    const { requestTimeout, answerSilence, answerTimeout } = this._options
    if (patience === undefined) return { begin: requestTimeout, silence: requestTimeout, whole: requestTimeout }
    return { begin: patience, silence: answerSilence, whole: patience + answerTimeout as Milliseconds }
  }

  private _checkStatus (request: IPlatformRequest, answer: IPlatformAnswer): IPlatformAnswer {
    const { status } = answer
    if (status < 400 || ANSWERING_STATUSES.includes(status)) return answer
    const origin = { step: request.step, peer: this._origin }
    const isRefused = status < 500 || REFUSING_STATUSES.includes(status)
    if (isRefused || !request.isWrite) throw new PlatformUnavailableError(`platform answered with status ${status}`, origin)
    throw new OutcomeUnknownError(`platform answered a write with status ${status}`, origin)
  }

  private _sortError (request: IPlatformRequest, cause: unknown): Error {
    if (cause instanceof PlatformUnavailableError || cause instanceof OutcomeUnknownError) return cause
    const origin = { step: request.step, peer: this._origin, cause }
    const text = cause instanceof Error ? cause.message : String(cause)
    if (!request.isWrite || isConnectError(cause)) return new PlatformUnavailableError(`platform cannot be reached: ${text}`, origin)
    return new OutcomeUnknownError(`answer of the platform was lost: ${text}`, origin)
  }

  private _noteAnswer (step: string): void {
    this._failures = 0
    if (this._isAvailable) return
    this._isAvailable = true
    this._services.log.log(PLATFORM_AVAILABLE, { step, peer: this._origin })
  }

  /** Calls the platform unavailable after some failures in a row, so that single ones do not fill the log. */
  private _noteFailure (error: unknown, step: string): void {
    const { log } = this._services
    const fields = { step, peer: this._origin, reason: error instanceof Error ? error.message : String(error) }
    if (error instanceof OutcomeUnknownError) log.log(PLATFORM_ANSWER_LOST, fields)
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
      // The signal of each request bounds it as a whole.
      headersTimeout: 0,
      bodyTimeout: 0,
      maxResponseSize: MAXIMUM_ANSWER_BYTES
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

/** True if the connection never came about, so that nothing was sent. */
function isConnectError (error: unknown): boolean {
  if (!(error instanceof Error)) return false
  const { code } = error as NodeJS.ErrnoException
  if (code !== undefined && CONNECT_ERROR_CODES.includes(code)) return true
  return error instanceof AggregateError && error.errors.length > 0 && error.errors.every(isConnectError)
}
