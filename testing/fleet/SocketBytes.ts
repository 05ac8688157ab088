/** Counts bytes on all outgoing TCP connections of the process. All nodes of a fleet run in one process, so these are all connections. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

const CHANNEL = 'net.client.socket'

/** Counts bytes of HTTP/2 including frames, excluding TCP and IP headers. */
export class SocketBytes {
  private readonly _sockets = new Set<Socket>()
  private _closedBytes = 0
  private readonly _listener = (message: unknown): void => {
    const { socket } = message as { readonly socket: Socket }
    this._sockets.add(socket)
    socket.once('close', () => {
      this._closedBytes += bytesOf(socket)
      this._sockets.delete(socket)
    })
  }

  constructor () {
    subscribe(CHANNEL, this._listener)
  }

  /** Bytes transferred in both directions since construction. */
  public get total (): number {
    let total = this._closedBytes
    for (const socket of this._sockets) total += bytesOf(socket)
    return total
  }

  public dispose (): void {
    unsubscribe(CHANNEL, this._listener)
  }
}

function bytesOf (socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten
}
