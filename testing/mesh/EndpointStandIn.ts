/** Stand-in of a platform endpoint with switchable faults. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { smallChunks } from '../SmallChunks.js'

/**
 * What the endpoint sends endlessly until the peer closes the connection: bytes that are not HTTP, a response head, interim responses, the
 * head of a chunk, chunks of one byte, a body, or bytes behind a complete response.
 */
export type EndlessMode =
  'endless-noise' | 'endless-head' | 'endless-interim' | 'endless-chunk-head' | 'endless-small-chunks' | 'endless-body' | 'endless-whole'

/** How the endpoint treats a request after it has read it. */
export type EndpointMode =
  | 'well' | 'shed' | 'fail' | 'reset-after-run' | 'silent' | 'unsigned' | 'other-id' | 'cut-without-length' | 'whole-without-length' | 'scripted' | EndlessMode

/** Writes the response to an executed request. `markingLines`: header lines by which an endpoint marks its response. */
export type ResponseScript = (socket: Socket, markingLines: string, run: IExecutedRequest) => void

const ENDLESS_RESPONSE_WRITE_BYTES = 65_536

/** One executed request. */
export interface IExecutedRequest {
  readonly id: string
  readonly method: string
  readonly path: string
  readonly body: string
  readonly expected: string
  readonly caller: string
  /** Milliseconds. */
  readonly deadline: number
}

/** Signs its responses and records the requests that it executes. */
export class EndpointStandIn {
  public mode: EndpointMode = 'well'
  /** Execution time of a request, in milliseconds. */
  public workTime = 0
  /** Start time of this incarnation on its own clock, in milliseconds. */
  public born = 1
  public readonly runs: IExecutedRequest[] = []
  /** Execution time of a request for this path, in milliseconds. */
  public workTimeOf: (path: string) => number = () => this.workTime
  /** Writes the response in mode `scripted`. */
  public script: ResponseScript = () => undefined
  /** Called when the execution of a request starts. */
  public onRun: (run: IExecutedRequest) => void = () => undefined
  /** Called with the id of a request whose connection closed before its response. */
  public onAbandoned: (id: string) => void = () => undefined
  /** Number of requests whose connection closed before their response. */
  public abandoned = 0
  /** Number of open connections with an endless response. */
  public endless = 0
  /** Number of times the endpoint has ended by itself. */
  public crashes = 0
  /** Number of requests that were addressed to another incarnation of the endpoint. */
  public misdirected = 0
  private readonly _server: Server

  constructor (public id: string) {
    this._server = createServer((request, response) => { this._serve(request, response).catch(() => response.destroy()) })
  }

  public get address (): string {
    const { address, port } = this._server.address() as AddressInfo
    return `${address}:${port}`
  }

  public start (port = 0): Promise<void> {
    return new Promise((resolve) => { this._server.listen(port, '127.0.0.1', resolve) })
  }

  public stop (): void {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Ends without a response to any request, and starts as a new incarnation at the same address after `delay` milliseconds. */
  public async crash (delay: number): Promise<void> {
    const { port } = this._server.address() as AddressInfo
    this.stop()
    this.crashes++
    await new Promise((resolve) => setTimeout(resolve, delay))
    this.born++
    this.id = `${this.id.split('.')[0] ?? ''}.${this.born}`
    await this.start(port)
  }

  /** Body of a heartbeat. */
  public heartbeat (service: string, sequence: number, state = 'ready'): string {
    return JSON.stringify({
      address: this.address,
      born: this.born,
      nodeInfo: { service, version: 'v1', zone: 'z1', slots: 4 },
      status: { state, sequence, coldLeftMs: 0 }
    })
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    const id = String(request.headers['x-savoryknot-attempt-id'] ?? '')
    const echoedId = this.mode === 'other-id' ? 'another' : id
    const echoFields: Record<string, string> = echoedId === '' ? {} : { 'x-savoryknot-attempt-id': echoedId }
    const expected = String(request.headers['x-savoryknot-expect-instance'] ?? '')
    if (expected !== this.id) {
      this.misdirected++
      return write(response, 421, echoFields, '')
    }
    if (this.mode === 'shed') return write(response, 503, { ...echoFields, 'x-savoryknot-not-executed': '1' }, '')
    const run = {
      id,
      method: request.method ?? '',
      path: request.url ?? '',
      body: Buffer.concat(chunks).toString(),
      expected,
      caller: String(request.headers['x-savoryknot-caller-service'] ?? ''),
      deadline: Number(request.headers['x-savoryknot-deadline-ms'])
    }
    this.runs.push(run)
    this.onRun(run)
    response.once('close', () => {
      if (response.writableFinished) return
      this.abandoned++
      this.onAbandoned(id)
    })
    const workTime = this.workTimeOf(run.path)
    if (workTime > 0) await new Promise((resolve) => setTimeout(resolve, workTime))
    const signed = { ...echoFields, 'x-savoryknot-response-signature': `by ${this.id}` }
    switch (this.mode) {
      case 'fail': return write(response, 500, signed, 'failed')
      case 'reset-after-run':
        request.socket.resetAndDestroy()
        return
      case 'silent': return
      case 'scripted': return this.script(request.socket, fieldLines(signed), run)
      case 'unsigned': return write(response, 200, echoFields, 'unsigned')
      case 'cut-without-length': return writeWithoutLength(request, signed, 'half', true)
      case 'endless-noise': return this._writeEndlessly(request, '', '\u0001\u0002')
      case 'endless-head': return this._writeEndlessly(request, 'HTTP/1.1 200 OK\r\nx-long: ', 'a')
      case 'endless-interim': return this._writeEndlessly(request, '', 'HTTP/1.1 103 Early Hints\r\n\r\n')
      case 'endless-chunk-head': return this._writeEndlessly(request, 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;x=', 'a')
      case 'endless-small-chunks':
        return this._writeEndlessly(request, `HTTP/1.1 200 OK\r\n${fieldLines(signed)}transfer-encoding: chunked\r\n\r\n`, smallChunks(1))
      case 'endless-body': return this._writeEndlessly(request, `HTTP/1.1 200 OK\r\n${fieldLines(signed)}connection: close\r\n\r\n`, 'a')
      case 'endless-whole': return this._writeEndlessly(request, `HTTP/1.1 200 OK\r\n${fieldLines(signed)}content-length: 5\r\n\r\nwhole`, 'a')
      case 'whole-without-length': return writeWithoutLength(request, signed, 'whole', false)
      default: return write(response, 200, signed, `answer to ${request.url ?? ''}`)
    }
  }

  /** Sends `start`, then repeats `chunk` until the peer closes the connection. */
  private _writeEndlessly (request: IncomingMessage, start: string, chunk: string): void {
    const { socket } = request
    const block = chunk.repeat(Math.ceil(ENDLESS_RESPONSE_WRITE_BYTES / chunk.length))
    this.endless++
    socket.on('error', () => undefined)
    socket.once('close', () => { this.endless-- })
    const writeMore = (): void => {
      while (!socket.destroyed && socket.write(block)) continue
    }
    socket.on('drain', writeMore)
    socket.write(start)
    writeMore()
  }
}

function fieldLines (fields: Record<string, string>): string {
  return Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')
}

function write (response: ServerResponse, status: number, headers: Record<string, string>, body: string): void {
  response.writeHead(status, { ...headers, 'content-length': String(Buffer.byteLength(body)) })
  response.end(body)
}

/** Writes a response that ends with its connection, or is truncated by a reset directly behind its bytes. */
function writeWithoutLength (request: IncomingMessage, headers: Record<string, string>, body: string, isReset: boolean): void {
  request.socket.write(`HTTP/1.1 200 OK\r\n${fieldLines(headers)}connection: close\r\n\r\n${body}`, () => {
    if (isReset) request.socket.resetAndDestroy()
    else request.socket.end()
  })
}
