/** Connections to one upstream: opened ahead, one after the other, never above the upstream's limit. */
import { connect, type Socket } from 'node:net'
import { Client, type buildConnector } from 'undici'
import { NO_CANCELLATION, type ICancellation } from '../common/Cancellation.js'
import { Disposable } from '../common/Disposable.js'
import { splitAddress } from '../common/HostPort.js'
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress } from '../common/Types.js'
import { UpstreamUnreachableError } from './GateErrors.js'

/** What the connections to one upstream need. */
export interface IUpstreamConnectionsOptions {
  readonly address: NetworkAddress
  readonly clock: IClockService
  /** Called when an attempt to open a connection fails. */
  readonly onUnreachable: (error: UpstreamUnreachableError) => void
  /** Time between the end of one opening and the start of the next. */
  readonly openInterval: Milliseconds
  /** An opening that takes longer has failed. */
  readonly openTimeout: Milliseconds
  /** Most openings under way at once; one if not given, and one as long as no connection is open. */
  readonly parallelOpenings?: number
  /** Asked on each new connection before it is lent; false if the other side does not answer. Part of the opening. */
  readonly greet?: (connection: UpstreamConnection) => Promise<boolean>
}

/** Idle time after which a connection is closed, unless the upstream asks for less. */
const IDLE_TIMEOUT_MS = 60_000
const MAXIMUM_HEAD_BYTES = 16_384
/** Time after a failed opening before the next. */
const REOPEN_DELAY_MS = 100 as Milliseconds

/** Errors of the system that end a connection without the other side's consent. */
const RESET_CODES = ['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'ECONNABORTED']
const NO_BYTES = Buffer.alloc(0)

/** One open connection; carries one exchange at a time. */
export class UpstreamConnection {
  public readonly client: Client
  private _isHandedOver = false
  private _hasFailed = false

  constructor (private readonly _socket: Socket, origin: string) {
    // Both before the client's own listeners, which take a reset for the end of an answer without length.
    _socket.on('error', this._noteFailure)
    _socket.once('end', this._probeEnd)
    // Reading notices a close by the upstream; bytes without a request belong to nobody.
    _socket.once('data', this._onUnsolicited)
    this.client = new Client(origin, {
      connect: this._handOver,
      pipelining: 1,
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: MAXIMUM_HEAD_BYTES
    })
    this.client.on('connectionError', ignore)
  }

  public get isOpen (): boolean {
    return !this._socket.destroyed && this._socket.writable
  }

  /** True if the connection failed or was closed here, so that an answer without length may lack its end. Known soon after the end. */
  public get hasFailed (): boolean {
    return this._hasFailed
  }

  /** Closes the connection at once; the client takes that for the end of an answer without length. */
  public close (): void {
    if (!this._socket.destroyed) this._hasFailed = true
    this._socket.destroy()
    this.client.destroy().catch(ignore)
  }

  /** Errors of the client itself have codes of their own. */
  private readonly _noteFailure = (error?: NodeJS.ErrnoException | null): void => {
    if (error?.code !== undefined && RESET_CODES.includes(error.code)) this._hasFailed = true
  }

  /** A reset that comes together with the last bytes is reported as a plain end; a write of no bytes then fails. */
  private readonly _probeEnd = (): void => {
    if (!this._socket.destroyed) this._socket.write(NO_BYTES, this._noteFailure)
  }

  private readonly _onUnsolicited = (): void => { this._socket.destroy() }

  /** Gives the client its only socket; a client never opens a second one. */
  private readonly _handOver = (_options: buildConnector.Options, callback: buildConnector.Callback): void => {
    if (this._isHandedOver || !this.isOpen) {
      callback(new UpstreamUnreachableError('connection closed while idle', { step: 'gate.connection' }), null)
      return
    }
    this._isHandedOver = true
    this._socket.off('data', this._onUnsolicited)
    this._socket.pause()
    // The client ignores a socket that it is given before the call that asks for one has returned.
    queueMicrotask(() => { callback(null, this._socket) })
  }
}

interface IWaiter {
  resolve (connection: UpstreamConnection): void
  reject (error: UpstreamUnreachableError): void
}

/** Keeps a number of connections open and lends them out. */
export class UpstreamConnections extends Disposable {
  private readonly _options: IUpstreamConnectionsOptions
  private readonly _open = new Set<UpstreamConnection>()
  private readonly _idle: UpstreamConnection[] = []
  private _waiters: IWaiter[] = []
  private _warm = 0
  private _limit = 0
  /** Openings under way, each with the number of lendings before it began. */
  private readonly _opening = new Map<Socket, number>()
  private _lendings = 0
  private _pause: IDisposable | undefined

  constructor (options: IUpstreamConnectionsOptions) {
    super()
    this._options = options
  }

  /** Connections that are open at present. */
  public get open (): ReadonlySet<UpstreamConnection> {
    return this._open
  }

  /** Sets how many connections are kept open ahead, and how many may be open at all. */
  public resize (warm: number, limit: number): void {
    this._warm = Math.min(warm, limit)
    this._limit = limit
    this._openMore()
  }

  /** An idle connection, if there is one. */
  public tryAcquire (): UpstreamConnection | undefined {
    let connection = this._idle.pop()
    while (connection !== undefined && !connection.isOpen) connection = this._idle.pop()
    return connection
  }

  /**
   * A connection as soon as there is one; rejects with `UpstreamUnreachableError` when opening fails, or when nobody waits for it
   * any more.
   */
  public acquire (cancellation: ICancellation = NO_CANCELLATION): Promise<UpstreamConnection> {
    const idle = this.tryAcquire()
    if (idle !== undefined) return Promise.resolve(idle)
    if (this.isDisposed) return Promise.reject(new UpstreamUnreachableError('gate stopped', { step: 'gate.connect', peer: this._options.address }))
    return new Promise((resolve, reject) => {
      const waiter = { resolve, reject }
      this._waiters.push(waiter)
      cancellation.onCancelled(() => this._withdraw(waiter))
      this._openMore()
    })
  }

  /** Takes a connection back. One whose exchange was cut is closed, never lent again. */
  public release (connection: UpstreamConnection, isReusable: boolean): void {
    if (!isReusable || !connection.isOpen || this.isDisposed) {
      connection.close()
      return
    }
    this._lend(connection)
  }

  /** Closes every connection. */
  public override dispose (): void {
    super.dispose()
    this._pause?.dispose()
    for (const socket of this._opening.keys()) socket.destroy()
    this._rejectWaiters('gate stopped')
    for (const connection of [...this._open]) connection.close()
  }

  private _withdraw (waiter: IWaiter): void {
    const position = this._waiters.indexOf(waiter)
    if (position < 0) return
    this._waiters.splice(position, 1)
    waiter.reject(new UpstreamUnreachableError('nobody waits any more', { step: 'gate.connect', peer: this._options.address }))
  }

  private _lend (connection: UpstreamConnection): void {
    this._lendings++
    const waiter = this._waiters.shift()
    if (waiter === undefined) this._idle.push(connection)
    else waiter.resolve(connection)
  }

  private _openMore (): void {
    const { parallelOpenings = 1 } = this._options
    const most = this._open.size === 0 ? 1 : parallelOpenings
    const wanted = Math.min(this._limit, Math.max(this._warm, this._open.size + this._waiters.length))
    while (!this.isDisposed && this._pause === undefined && this._opening.size < most) {
      if (this._open.size + this._opening.size >= wanted) return
      this._openOne()
    }
  }

  private _openOne (): void {
    const { host, port } = splitAddress(this._options.address)
    const socket = connect({ host, port, noDelay: true, keepAlive: true })
    this._opening.set(socket, this._lendings)
    const timeout = this._options.clock.after(this._options.openTimeout, () => socket.destroy(new Error('connection attempt timed out')))
    const fail = (error?: Error): void => { this._onFailed(socket, error) }
    socket.once('error', fail)
    socket.once('close', fail)
    socket.once('connect', () => {
      socket.off('error', fail)
      socket.off('close', fail)
      this._onConnected(socket, timeout)
    })
    socket.once('close', () => timeout.dispose())
  }

  private _onConnected (socket: Socket, timeout: IDisposable): void {
    const { address, greet } = this._options
    const connection = new UpstreamConnection(socket, `http://${address}`)
    const finish = (hasAnswered: boolean): void => {
      timeout.dispose()
      if (hasAnswered && connection.isOpen) return this._onOpened(socket, connection)
      connection.close()
      this._onFailed(socket, new Error('no answer on a new connection'))
    }
    if (greet === undefined) return finish(true)
    greet(connection).then(finish, () => finish(false))
  }

  private _onOpened (socket: Socket, connection: UpstreamConnection): void {
    this._opening.delete(socket)
    this._open.add(connection)
    socket.once('close', () => { this._onClosed(connection) })
    this._lend(connection)
    this._pauseOpening()
  }

  private _onClosed (connection: UpstreamConnection): void {
    this._open.delete(connection)
    const position = this._idle.indexOf(connection)
    if (position >= 0) this._idle.splice(position, 1)
    connection.close()
    this._openMore()
  }

  private _onFailed (socket: Socket, cause: Error | undefined): void {
    const lendings = this._opening.get(socket)
    if (!this._opening.delete(socket)) return
    socket.on('error', ignore)
    if (this.isDisposed) return
    this._pauseOpening(REOPEN_DELAY_MS)
    // Openings that are still under way may serve those who wait, unless the other side has been silent since this one began.
    if (this._opening.size > 0 && lendings !== this._lendings) return
    this._options.onUnreachable(this._rejectWaiters(cause?.message ?? 'connection closed', cause))
  }

  private _pauseOpening (duration: Milliseconds = this._options.openInterval): void {
    this._pause?.dispose()
    this._pause = this._options.clock.after(duration, () => {
      this._pause = undefined
      this._openMore()
    })
  }

  private _rejectWaiters (message: string, cause?: Error): UpstreamUnreachableError {
    const error = new UpstreamUnreachableError(message, { step: 'gate.connect', peer: this._options.address, cause })
    const waiters = this._waiters
    this._waiters = []
    for (const waiter of waiters) waiter.reject(error)
    return error
  }
}

function ignore (): void {}
