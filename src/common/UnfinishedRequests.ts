/** Counts the requests of an HTTP server whose response is not complete. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/**
 * Maximum number of unfinished requests of a connection. Node.js reads on while pipelined requests wait for their responses, and an
 * unfinished request takes some 10 KB, however small it is on the wire.
 */
export const MAXIMUM_PIPELINED_REQUESTS = 64

/** Counts by connection; a connection has several unfinished requests if its peer pipelines them. */
export class UnfinishedRequests {
  private readonly _counts = new WeakMap<Socket, number>()
  private _total = 0

  /** Number of unfinished requests of all open connections. */
  public get total (): number {
    return this._total
  }

  /** Counts a request until its response is complete or its connection closes. */
  public add (response: ServerResponse): void {
    const { socket } = response.req
    this._total++
    this._counts.set(socket, this.countOf(socket) + 1)
    onceFinished(response, () => {
      this._total--
      this._counts.set(socket, this.countOf(socket) - 1)
    })
  }

  /** Number of unfinished requests of a connection. */
  public countOf (socket: Socket): number {
    return this._counts.get(socket) ?? 0
  }

  /** True if a connection has more unfinished requests than are accepted; its newest request has to be refused. */
  public hasTooMany (socket: Socket): boolean {
    return this.countOf(socket) > MAXIMUM_PIPELINED_REQUESTS
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
