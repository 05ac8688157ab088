/** Connections of callers: tracks the unfinished requests of each connection and whether the connection is closing. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

const CLOSE: readonly string[] = Object.freeze(['connection', 'close'])
const KEEP_OPEN: readonly string[] = Object.freeze([])

/** Supports pipelining: a connection may have several unfinished requests, and only the response to the newest one may close it. */
export class CallerConnections {
  private readonly _unfinished = new WeakMap<Socket, number>()
  private readonly _newestResponse = new WeakMap<Socket, ServerResponse>()
  private readonly _closing = new WeakSet<Socket>()

  private _inFlight = 0

  /** Number of requests without a complete response whose connection is open. */
  public get inFlight (): number {
    return this._inFlight
  }

  /** Registers a request. Returns false if the connection is already closing, so that no response can be sent. */
  public tryRegister (response: ServerResponse): boolean {
    const { socket } = response.req
    if (this._closing.has(socket)) return false
    this._inFlight++
    this._unfinished.set(socket, (this._unfinished.get(socket) ?? 0) + 1)
    this._newestResponse.set(socket, response)
    onceFinished(response, () => {
      this._inFlight--
      this._unfinished.set(socket, (this._unfinished.get(socket) ?? 1) - 1)
    })
    return true
  }

  /** True while a request of the connection has no complete response. */
  public isBusy (socket: Socket): boolean {
    return (this._unfinished.get(socket) ?? 0) > 0
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

/**
 * Calls `action` once when the response or its connection closes. A pipelined response that waits behind an earlier one emits no `close`
 * event when the connection closes, so both are observed.
 */
function onceFinished (response: ServerResponse, action: () => void): void {
  const { socket } = response.req
  let hasFinished = false
  const finish = (): void => {
    response.off('close', finish)
    socket.off('close', finish)
    // One event can be emitted during the other, before its listener is removed.
    if (!hasFinished) action()
    hasFinished = true
  }
  response.once('close', finish)
  socket.once('close', finish)
}
