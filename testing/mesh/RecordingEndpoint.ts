/** Stand-in of a platform endpoint that records the bytes of its connections and parses them strictly itself. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { RequestReader, type IReceivedHead, type IReceivedRequest } from './RequestReader.js'

/** A response that is sent before the body of its request is read. */
export interface IEarlyResponse {
  readonly status: number
  /** Header lines in addition to the echoed id, each with its line end. */
  readonly lines: string
  /** Time in milliseconds until the endpoint reads on. */
  readonly pause: number
}

/** One connection to the endpoint. */
export interface IRecordedConnection {
  /** All received bytes in order. */
  readonly chunks: Buffer[]
  readonly requests: IReceivedRequest[]
  /** Why the received bytes are no sequence of requests. */
  fault: string | undefined
  /** True if the connection ended within a request. */
  isTruncated: boolean
}

/** Slots that the endpoint reports. */
const SLOTS = 4

/** Responds as `EndpointStandIn` does. */
export class RecordingEndpoint {
  public readonly connections: IRecordedConnection[] = []
  /** The response to send before the body is read; undefined for the usual response after it. */
  public earlyResponseTo: (head: IReceivedHead) => IEarlyResponse | undefined = () => undefined
  private readonly _sockets = new Set<Socket>()
  private readonly _server: Server

  constructor (public readonly id: string) {
    this._server = createServer({ noDelay: true }, (socket) => this._accept(socket))
  }

  /** Requests that were received completely, in the order of their connections. */
  public get requests (): readonly IReceivedRequest[] {
    return this.connections.flatMap(({ requests }) => requests)
  }

  public get faults (): readonly string[] {
    return this.connections.flatMap(({ fault }) => fault ?? [])
  }

  public get address (): string {
    const { address, port } = this._server.address() as AddressInfo
    return `${address}:${port}`
  }

  public start (): Promise<void> {
    return new Promise((resolve) => { this._server.listen(0, '127.0.0.1', resolve) })
  }

  public stop (): void {
    this._server.close()
    for (const socket of this._sockets) socket.destroy()
  }

  /** Forgets the bytes and requests that were received so far, but no fault, and responds as usual. Connections stay open. */
  public forget (): void {
    this.earlyResponseTo = () => undefined
    for (const connection of this.connections) {
      connection.chunks.length = 0
      connection.requests.length = 0
    }
  }

  /** Body of a heartbeat. */
  public heartbeat (service: string, sequence: number): string {
    return JSON.stringify({
      address: this.address,
      born: 1,
      nodeInfo: { service, version: 'v1', zone: 'z1', slots: SLOTS },
      status: { state: 'ready', sequence, coldLeftMs: 0 }
    })
  }

  private _accept (socket: Socket): void {
    const connection: IRecordedConnection = { chunks: [], requests: [], fault: undefined, isTruncated: false }
    const reader = new RequestReader()
    let earlyResponseHead: IReceivedHead | undefined
    this.connections.push(connection)
    this._sockets.add(socket)
    socket.on('error', () => undefined)
    socket.once('close', () => {
      this._sockets.delete(socket)
      connection.isTruncated = connection.fault === undefined && !reader.isAtStart
    })
    const readRequests = (): void => {
      for (let head = reader.readHead(); head !== undefined; head = reader.readHead()) {
        const early = head === earlyResponseHead ? undefined : this.earlyResponseTo(head)
        if (early !== undefined) {
          earlyResponseHead = head
          socket.write(responseText(head, early.status, early.lines, 'early'))
          socket.pause()
          setTimeout(() => { socket.resume() }, early.pause)
        }
        const request = reader.readRequest()
        if (request === undefined) return
        connection.requests.push(request)
        if (head !== earlyResponseHead) socket.write(responseText(head, 200, this._signature, 'whole'))
      }
    }
    socket.on('data', (chunk) => {
      connection.chunks.push(chunk)
      if (connection.fault !== undefined) return
      reader.append(chunk)
      try {
        readRequests()
      } catch (error) {
        connection.fault = String(error)
        socket.destroy()
      }
    })
  }

  private get _signature (): string {
    return `x-savoryknot-response-signature: by ${this.id}\r\n`
  }
}

function responseText ({ method, fields }: IReceivedHead, status: number, lines: string, body: string): string {
  const id = fields.find(([name]) => name.toLowerCase() === 'x-savoryknot-attempt-id')?.[1]
  const echo = id === undefined ? '' : `x-savoryknot-attempt-id: ${id}\r\n`
  return `HTTP/1.1 ${status} Status\r\n${echo}${lines}content-length: ${body.length}\r\n\r\n${method === 'HEAD' ? '' : body}`
}
