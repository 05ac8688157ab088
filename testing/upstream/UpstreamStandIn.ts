/** Stand-in upstream for tests, benchmarks and the demonstration, with slots, simulated costs, and faults that can be injected. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { once } from 'node:events'
import type { NetworkAddress } from '../../src/common/Types.js'
import { HEADER } from '../../src/gate/Types.js'

/** Options of `UpstreamStandIn`. */
export interface IUpstreamStandInOptions {
  readonly service: string
  /** 0 selects a free port. */
  readonly port: number
  /** Maximum number of concurrent requests; further requests are queued in order. */
  readonly slots: number
  readonly serviceTimeMs: number
  /** Time to accept a new connection; connections are accepted one at a time. */
  readonly connectionCostMs: number
  /** Time for which a probe occupies a slot. */
  readonly probeCostMs: number
  /** Time after the start during which requests take three times as long. */
  readonly coldStartMs: number
  /** Time from a crash until the upstream listens again. */
  readonly restartMs: number
}

/** Defaults of `UpstreamStandIn`. */
export const DEFAULT_UPSTREAM_STAND_IN_OPTIONS: IUpstreamStandInOptions = Object.freeze({
  service: 'status', port: 0, slots: 9, serviceTimeMs: 0, connectionCostMs: 0, probeCostMs: 0, coldStartMs: 0, restartMs: 50
})

/** Faults of one response, selected by the header `x-fault` of the request. */
export type ResponseFault =
  | 'cut-before-head' | 'cut-in-head' | 'cut-in-body' | 'short-body' | 'no-length' | 'other-coding' | 'oversized' | 'hang' | 'hang-in-body' | 'crossed' | 'malformed' | 'crash' | 'early'

/** Behaviour of the health endpoint. */
export type HealthReport = 'truth' | 'always-well' | 'always-ill' | 'draining'

const COLD_FACTOR = 3
const OVERSIZED_BYTES = 1_000_000
const CHUNK_BYTES = 65_536

/** An upstream in the current process that counts every execution. */
export class UpstreamStandIn {
  /** Executions by the value of the header `idempotency-key`, or by request id. */
  public readonly executions = new Map<string, number>()
  /** Request ids that were executed. */
  public readonly executedRequests = new Set<string>()
  /** Number of executions started. */
  public started = 0
  /** Number of requests whose sender disconnected before the response was complete. */
  public cancelled = 0
  public crashes = 0
  /** Number of accepted connections. */
  public connections = 0
  public probes = 0
  public health: HealthReport = 'truth'
  /** Start time of the last execution in milliseconds since the Unix epoch. */
  public lastStartAt = 0
  /** Maximum number of requests that ran concurrently. */
  public peak = 0
  /** Factor by which the service time of every request is multiplied. */
  public slowFactor = 1
  private readonly _options: IUpstreamStandInOptions
  private readonly _sockets = new Set<Socket>()
  private readonly _acceptDelays = new WeakMap<Socket, Promise<void>>()
  private readonly _waitingForSlot: Array<() => void> = []
  private _server: Server | undefined
  private _port: number
  private _restartTimer: NodeJS.Timeout | undefined
  private _used = 0
  private _acceptFreeAt = 0
  private _coldUntil = 0

  constructor (options: Partial<IUpstreamStandInOptions> = {}) {
    this._options = { ...DEFAULT_UPSTREAM_STAND_IN_OPTIONS, ...options }
    this._port = this._options.port
  }

  public get address (): NetworkAddress {
    return `127.0.0.1:${this._port}` as NetworkAddress
  }

  /** Maximum number of executions of one key. */
  public get maximumExecutions (): number {
    return Math.max(0, ...this.executions.values())
  }

  public async start (): Promise<void> {
    const server = createServer({ noDelay: true }, (message, response) => {
      this._serve(message, response).catch(() => response.destroy())
    })
    server.on('connection', (socket) => { this._accept(socket) })
    server.listen(this._port, '127.0.0.1')
    await once(server, 'listening')
    this._port = (server.address() as AddressInfo).port
    this._server = server
    this._coldUntil = Date.now() + this._options.coldStartMs
  }

  /** Closes all connections immediately, like a killed process. */
  public kill (): void {
    clearTimeout(this._restartTimer)
    this._server?.close()
    this._server = undefined
    for (const socket of this._sockets) socket.destroy()
    this._waitingForSlot.length = 0
    this._used = 0
  }

  /** Crashes and restarts on the same port. */
  public crash (): void {
    this.crashes++
    this.kill()
    this._restartTimer = setTimeout(() => { this.start().catch(() => {}) }, this._options.restartMs)
  }

  private _accept (socket: Socket): void {
    this.connections++
    this._sockets.add(socket)
    socket.on('close', () => { this._sockets.delete(socket) })
    socket.on('error', () => {})
    if (this._options.connectionCostMs === 0) return
    this._acceptFreeAt = Math.max(Date.now(), this._acceptFreeAt) + this._options.connectionCostMs
    this._acceptDelays.set(socket, sleep(this._acceptFreeAt - Date.now()))
  }

  private async _serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    response.on('error', () => {})
    await this._acceptDelays.get(message.socket)
    if (message.url === '/health') await this._respondToProbe(response)
    else await this._execute(message, response)
  }

  private async _respondToProbe (response: ServerResponse): Promise<void> {
    this.probes++
    await this._runInSlot(this._options.probeCostMs)
    if (this.health === 'draining') response.writeHead(503).end('draining')
    else response.writeHead(this.health === 'always-ill' ? 503 : 200).end('health')
  }

  private async _execute (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const fault = message.headers['x-fault'] as ResponseFault | undefined
    if (fault === 'early') {
      response.writeHead(200, { 'content-length': '5' }).end('early')
      return
    }
    const body = await readAll(message)
    if (body === undefined) {
      this.cancelled++
      return
    }
    response.once('close', () => {
      if (!response.writableFinished) this.cancelled++
    })
    await this._runInSlot(this._serviceTime(), () => { this._count(message) })
    if (fault !== undefined) await this._sendFault(fault, message, response)
    else this._sendResponse(message, response, body)
  }

  private _serviceTime (): number {
    const coldFactor = Date.now() < this._coldUntil ? COLD_FACTOR : 1
    return this._options.serviceTimeMs * coldFactor * this.slowFactor
  }

  /** Occupies a slot for a time; waits for one if none is free. */
  private async _runInSlot (duration: number, onStart?: () => void): Promise<void> {
    if (this._used >= this._options.slots) await new Promise<void>((resolve) => { this._waitingForSlot.push(resolve) })
    else this._used++
    this.peak = Math.max(this.peak, this._used)
    onStart?.()
    const server = this._server
    if (duration > 0) await sleep(duration)
    if (server !== this._server) return
    const next = this._waitingForSlot.shift()
    if (next === undefined) this._used--
    else next()
  }

  private _count (message: IncomingMessage): void {
    const key = String(message.headers['idempotency-key'] ?? message.headers[HEADER.requestId])
    this.executedRequests.add(String(message.headers[HEADER.requestId]))
    this.started++
    this.lastStartAt = Date.now()
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1)
  }

  private _sendResponse (message: IncomingMessage, response: ServerResponse, body: Buffer): void {
    const size = Number(message.headers['x-answer-bytes'] ?? 0)
    const requestId = String(message.headers[HEADER.requestId] ?? '')
    const { method, url: path } = message
    const text = JSON.stringify({ service: this._options.service, method, path, requestId, received: body.byteLength })
    const head = { 'content-type': 'application/json', [HEADER.requestId]: requestId }
    if (size === 0) {
      response.writeHead(200, { ...head, 'content-length': String(Buffer.byteLength(text)) }).end(text)
      return
    }
    response.writeHead(200, { ...head, 'content-length': String(size) })
    writeMany(response, size)
  }

  private async _sendFault (fault: ResponseFault, message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { socket } = message
    if (fault === 'crash') this.crash()
    if (fault === 'cut-before-head') socket.destroy()
    if (fault === 'malformed') socket.end('nonsense\r\n\r\n')
    if (fault === 'no-length') socket.end('HTTP/1.1 200 OK\r\n\r\npart')
    if (fault === 'cut-in-head') socket.end('HTTP/1.1 200 OK\r\nContent-Length: 1')
    if (fault === 'other-coding') socket.end('HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\npart')
    if (fault === 'short-body') socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart')
    if (fault === 'crossed') response.writeHead(200, { [HEADER.requestId]: 'another-request' }).end('not yours')
    if (fault === 'oversized') writeMany(response, OVERSIZED_BYTES)
    if (fault !== 'cut-in-body' && fault !== 'hang-in-body') return
    response.writeHead(200, { 'content-length': '9' }).write('part')
    await sleep(10)
    if (fault === 'cut-in-body') socket.destroy()
  }
}

/** Writes `size` bytes with backpressure. */
function writeMany (response: ServerResponse, size: number): void {
  let remainingBytes = size
  const writeChunks = (): void => {
    while (remainingBytes > 0) {
      const length = Math.min(remainingBytes, CHUNK_BYTES)
      remainingBytes -= length
      if (!response.write(Buffer.alloc(length, 'x'))) {
        response.once('drain', writeChunks)
        return
      }
    }
    response.end()
  }
  writeChunks()
}

/** Reads the complete body; undefined if the sender disconnects. */
async function readAll (message: IncomingMessage): Promise<Buffer | undefined> {
  const chunks: Buffer[] = []
  try {
    for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk)
    return Buffer.concat(chunks)
  } catch {
    return undefined
  }
}

function sleep (duration: number): Promise<void> {
  return new Promise((resolve) => { setTimeout(resolve, duration) })
}
