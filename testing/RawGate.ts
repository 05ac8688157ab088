/** A TCP server that takes the place of a gate and sends arbitrary bytes chosen by a test. */
import { createServer, type Server, type Socket } from 'node:net'
import { createServer as createTlsServer, type TlsOptions } from 'node:tls'
import type { AddressInfo } from 'node:net'
import type { NetworkAddress } from '../src/common/Types.js'

/** Called with the text of each received chunk, normally a request head; the id is the value of its request-id header. */
export type RawBehaviour = (socket: Socket, requestId: string, head: string) => void

const REQUEST_ID = /savoryknot-request-id: (\S+)/

/** Counts connections and records requests, so that a test can check what was sent and whether connections were reused. */
export class RawGate {
  public connections = 0
  public readonly heads: string[] = []
  private readonly _server: Server
  private readonly _sockets = new Set<Socket>()

  constructor (behaviour: RawBehaviour, tls?: TlsOptions) {
    const accept = (socket: Socket): void => {
      this.connections++
      this._sockets.add(socket)
      socket.on('error', () => undefined)
      socket.on('data', (data) => {
        const head = data.toString('latin1')
        this.heads.push(head)
        behaviour(socket, REQUEST_ID.exec(head)?.[1] ?? '', head)
      })
    }
    this._server = tls === undefined ? createServer(accept) : createTlsServer(tls, accept)
    this._server.on('tlsClientError', () => undefined)
  }

  public async listen (): Promise<NetworkAddress> {
    await new Promise<void>((resolve) => { this._server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(this._server.address() as AddressInfo).port}` as NetworkAddress
  }

  public close (): void {
    for (const socket of this._sockets) socket.destroy()
    this._server.close()
  }
}

/** Head of a response from a gate. */
export function responseHead (requestId: string, fields: string, outcome = 'answered', status = '200 OK'): string {
  return `HTTP/1.1 ${status}\r\nsavoryknot-request-id: ${requestId}\r\nsavoryknot-outcome: ${outcome}\r\n${fields}\r\n\r\n`
}
