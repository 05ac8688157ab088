/** Connections of callers: tracks the unfinished requests of each connection and whether the connection is closing. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { UnfinishedRequests } from '../../common/UnfinishedRequests.js'

const CLOSE: readonly string[] = Object.freeze(['connection', 'close'])
const KEEP_OPEN: readonly string[] = Object.freeze([])

/** Supports pipelining: a connection may have several unfinished requests, and only the response to the newest one may close it. */
export class CallerConnections {
  private readonly _unfinished = new UnfinishedRequests()
  private readonly _newestResponse = new WeakMap<Socket, ServerResponse>()
  private readonly _closing = new WeakSet<Socket>()

  /** Number of requests without a complete response whose connection is open. */
  public get inFlight (): number {
    return this._unfinished.total
  }

  /** Registers a request. Returns false if the connection is already closing, so that no response can be sent. */
  public tryRegister (response: ServerResponse): boolean {
    const { socket } = response.req
    if (this._closing.has(socket)) return false
    this._unfinished.add(response)
    this._newestResponse.set(socket, response)
    return true
  }

  /** True while a request of the connection has no complete response. */
  public isBusy (socket: Socket): boolean {
    return this._unfinished.countOf(socket) > 0
  }

  /** True if the connection has more unfinished requests than are accepted; its newest request has to be refused. */
  public hasTooManyRequests (socket: Socket): boolean {
    return this._unfinished.hasTooMany(socket)
  }

  /** The response to the newest request of the connection; undefined if there was no request. */
  public newestResponse (socket: Socket): ServerResponse | undefined {
    return this._newestResponse.get(socket)
  }

  /** Makes `tryRegister` reject all further requests of the connection. */
  public ignoreFurtherRequests (socket: Socket): void {
    this._closing.add(socket)
  }

  /** Returns the header fields that close the connection after this response. */
  public closeAfter (response: ServerResponse): readonly string[] {
    this.ignoreFurtherRequests(response.req.socket)
    return CLOSE
  }

  /** Returns the header fields that close the connection after this response, or none if a newer request waits for its response. */
  public closeAfterIfNewest (response: ServerResponse): readonly string[] {
    return this._newestResponse.get(response.req.socket) === response ? this.closeAfter(response) : KEEP_OPEN
  }
}
