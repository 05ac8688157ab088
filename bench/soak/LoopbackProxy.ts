/** TCP proxy of a link that can be delayed, lose the bytes of one or both directions, refuse connections or reset them. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { LinkMode } from './Types.js'

const HOST = '127.0.0.1'
/** Delay of each chunk of a delayed connection, in each direction. */
const DELAY_MS = 120

const NO_BYTES = Buffer.alloc(0)

/** One proxied connection: its client side and its target side. */
interface IProxiedConnection {
  readonly clientSocket: Socket
  readonly targetSocket: Socket
  /** True once bytes were lost. */
  hasLostBytes: boolean
}

/** Forwards connections from its own port to another one. A connection that lost bytes stays unresponsive until it is closed. */
export class LoopbackProxy {
  private _mode: LinkMode = 'well'
  private readonly _connections = new Set<IProxiedConnection>()
  private readonly _server: Server
  private _port = 0

  constructor (private _target: number) {
    this._server = createServer({ allowHalfOpen: true }, (clientSocket) => this._accept(clientSocket))
  }

  public get port (): number {
    return this._port
  }

  /** Number of open connections on which bytes were lost. */
  public get lostConnections (): number {
    return [...this._connections].filter(({ hasLostBytes }) => hasLostBytes).length
  }

  public start (): Promise<void> {
    return new Promise((resolve) => {
      this._server.listen(0, HOST, () => {
        this._port = (this._server.address() as AddressInfo).port
        resolve()
      })
    })
  }

  /** Resets every connection and starts again at another port, for another target. */
  public async moveTo (target: number): Promise<void> {
    this.stop()
    this._target = target
    await this.start()
  }

  public stop (): void {
    this._server.close()
    this.reset()
  }

  /** Bytes in flight during the change are lost if the new mode loses bytes; they are not delivered later. */
  public switchTo (mode: LinkMode): void {
    this._mode = mode
  }

  /** Resets every connection. */
  public reset (): void {
    for (const { clientSocket, targetSocket } of this._connections) {
      clientSocket.resetAndDestroy()
      targetSocket.resetAndDestroy()
    }
    this._connections.clear()
  }

  private _accept (clientSocket: Socket): void {
    if (this._mode === 'refusing') {
      clientSocket.resetAndDestroy()
      return
    }
    const connection: IProxiedConnection = {
      clientSocket,
      targetSocket: connect({ host: HOST, port: this._target, noDelay: true, allowHalfOpen: true }),
      hasLostBytes: false
    }
    clientSocket.setNoDelay(true)
    this._connections.add(connection)
    this._forward(connection, connection.clientSocket, connection.targetSocket, 'deaf-forwards')
    this._forward(connection, connection.targetSocket, connection.clientSocket, 'deaf-backwards')
  }

  private _forward (connection: IProxiedConnection, from: Socket, to: Socket, lossMode: LinkMode): void {
    const queue = new DelayQueue()
    let hasGap = false
    const schedule = (action: () => void): void => queue.push(action, this._mode === 'delayed' ? DELAY_MS : 0)
    from.on('data', (chunk) => {
      // A gap in the byte stream cannot be closed later, so all following bytes are dropped as well.
      hasGap ||= this._mode === 'silent' || this._mode === lossMode
      connection.hasLostBytes ||= hasGap
      if (!hasGap) schedule(() => { if (to.writable) to.write(chunk) })
    })
    // Node.js reports a reset that arrives together with the last bytes as a plain end; an empty write then fails.
    from.on('end', () => from.write(NO_BYTES, (error) => {
      if (!hasGap) schedule(() => error == null ? to.end() : to.resetAndDestroy())
    }))
    from.on('error', () => undefined)
    from.on('close', (hadError) => {
      this._connections.delete(connection)
      if (!hasGap) schedule(() => hadError ? to.resetAndDestroy() : to.destroySoon())
    })
  }
}

/** Runs actions in the order in which they were added, each after its delay at the earliest. */
class DelayQueue {
  private _last: Promise<void> = Promise.resolve()
  private _pendingCount = 0

  public push (action: () => void, delay: number): void {
    if (delay === 0 && this._pendingCount === 0) return action()
    const due = new Promise<void>((resolve) => setTimeout(resolve, delay))
    this._pendingCount++
    this._last = Promise.all([this._last, due]).then(() => {
      this._pendingCount--
      action()
    })
  }
}
