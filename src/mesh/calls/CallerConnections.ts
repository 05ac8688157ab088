/** Connections of callers: which have a request under way, and which end with an answer that was given. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

const CLOSE: readonly string[] = Object.freeze(['connection', 'close'])
const KEEP: readonly string[] = Object.freeze([])

/** A caller may send requests before earlier ones are answered; only the answer to the newest one may end the connection. */
export class CallerConnections {
  private readonly _busy = new WeakMap<Socket, number>()
  private readonly _newest = new WeakMap<Socket, ServerResponse>()
  private readonly _ending = new WeakSet<Socket>()

  private _inFlight = 0

  /** Requests that have no whole answer yet, and whose connection is open. */
  public get inFlight (): number {
    return this._inFlight
  }

  /** Notes a request; false if an answer that ends its connection was given already, so that it could get none. */
  public take (response: ServerResponse): boolean {
    const { socket } = response.req
    if (this._ending.has(socket)) return false
    this._inFlight++
    this._busy.set(socket, (this._busy.get(socket) ?? 0) + 1)
    this._newest.set(socket, response)
    onceOver(response, () => {
      this._inFlight--
      this._busy.set(socket, (this._busy.get(socket) ?? 1) - 1)
    })
    return true
  }

  /** True while a request of the connection has no whole answer. */
  public isBusy (socket: Socket): boolean {
    return (this._busy.get(socket) ?? 0) > 0
  }

  /** The answer to the newest request of the connection; undefined if there was none. */
  public newest (socket: Socket): ServerResponse | undefined {
    return this._newest.get(socket)
  }

  /** Takes no further request from the connection. */
  public refuse (socket: Socket): void {
    this._ending.add(socket)
  }

  /** Fields of an answer after which the connection is of no more use. */
  public end (response: ServerResponse): readonly string[] {
    this.refuse(response.req.socket)
    return CLOSE
  }

  /** Fields of an answer after which the connection should end, unless a later request waits there for its own. */
  public endIfLast (response: ServerResponse): readonly string[] {
    return this._newest.get(response.req.socket) === response ? this.end(response) : KEEP
  }
}

/** An answer that waits behind another one of its connection does not tell that the connection has closed. */
function onceOver (response: ServerResponse, action: () => void): void {
  const { socket } = response.req
  let isOver = false
  const end = (): void => {
    response.off('close', end)
    socket.off('close', end)
    // The one can be told while the other is.
    if (!isOver) action()
    isOver = true
  }
  response.once('close', end)
  socket.once('close', end)
}
