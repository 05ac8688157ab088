/** Counts bytes on all TCP connections that the process dials; in a fleet both ends are in the process, so this is all of them. */
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'

const CHANNEL = 'net.client.socket'

/** Bytes of HTTP/2 with its frames, without the headers of TCP and IP. */
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

  /** Bytes sent in both directions since the start. */
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
