/** Connection pool of one upstream: opens connections in advance, by default one at a time, and never more than its limit. */
import { connect, type Socket } from 'node:net'
import { Client, type buildConnector } from 'undici'
import { NO_CANCELLATION, type ICancellation } from '../common/Cancellation.js'
import { Disposable } from '../common/Disposable.js'
import { splitAddress } from '../common/HostPort.js'
import type { IClockService } from '../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress } from '../common/Types.js'
import { UpstreamUnreachableError } from './GateErrors.js'

/** Options of `UpstreamConnections`. */
export interface IUpstreamConnectionsOptions {
  readonly address: NetworkAddress
  readonly clock: IClockService
  /** Called when an attempt to open a connection fails. */
  readonly onUnreachable: (error: UpstreamUnreachableError) => void
  /** Minimum time between the completion of one connection attempt and the start of the next. */
  readonly openInterval: Milliseconds
  /** Timeout of a connection attempt. */
  readonly openTimeout: Milliseconds
  /** Maximum number of simultaneous connection attempts; default 1, and always 1 while no connection is open. */
  readonly maximumParallelAttempts?: number
  /** Verifies each new connection before it is used; false if the other side does not respond. Counts towards `openTimeout`. */
  readonly verify?: (connection: UpstreamConnection) => Promise<boolean>
}

/** Idle time after which a connection is closed, unless the upstream requests a shorter time. */
const IDLE_TIMEOUT_MS = 60_000
const MAXIMUM_HEAD_BYTES = 16_384
/** Delay between a failed connection attempt and the next. */
const REOPEN_DELAY_MS = 100 as Milliseconds

/** System error codes of a connection that was not closed in an orderly way by the other side. */
const RESET_CODES = ['ECONNRESET', 'EPIPE', 'ETIMEDOUT', 'ECONNABORTED']
const NO_BYTES = Buffer.alloc(0)

/** An open connection; carries one exchange at a time. */
export class UpstreamConnection {
  public readonly client: Client
  private _isSocketProvided = false
  private _hasFailed = false

  constructor (private readonly _socket: Socket, origin: string) {
    // Both listeners must precede those of the client, which treats a reset as the end of a response without a length.
    _socket.on('error', this._recordFailure)
    _socket.once('end', this._detectReset)
    // Reading detects a close by the upstream. Bytes that arrive without a request belong to no response, so the connection is closed.
    _socket.once('data', this._onUnsolicitedData)
    this.client = new Client(origin, {
      connect: this._provideSocket,
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

  /**
   * True if the connection failed or was closed by this process, in which case a response without a length may be truncated. Set
   * shortly after the end of the connection.
   */
  public get hasFailed (): boolean {
    return this._hasFailed
  }

  /** Closes the connection immediately. The client treats the close as the end of a response without a length. */
  public close (): void {
    if (!this._socket.destroyed) this._hasFailed = true
    this._socket.destroy()
    this.client.destroy().catch(ignore)
  }

  /** Records a failure of the connection; errors of the client have other codes and are ignored. */
  private readonly _recordFailure = (error?: NodeJS.ErrnoException | null): void => {
    if (error?.code !== undefined && RESET_CODES.includes(error.code)) this._hasFailed = true
  }

  /** Detects a reset received together with the last bytes: the socket reports it as an orderly end, but an empty write fails. */
  private readonly _detectReset = (): void => {
    if (!this._socket.destroyed) this._socket.write(NO_BYTES, this._recordFailure)
  }

  private readonly _onUnsolicitedData = (): void => { this._socket.destroy() }

  /** Passes the socket to the client once; the client cannot open a second one. */
  private readonly _provideSocket = (_options: buildConnector.Options, callback: buildConnector.Callback): void => {
    if (this._isSocketProvided || !this.isOpen) {
      callback(new UpstreamUnreachableError('connection closed while idle', { step: 'gate.connection' }), null)
      return
    }
    this._isSocketProvided = true
    this._socket.off('data', this._onUnsolicitedData)
    this._socket.pause()
    // The client ignores a socket that is passed to the callback before this function has returned.
    queueMicrotask(() => { callback(null, this._socket) })
  }
}

interface IWaiter {
  resolve (connection: UpstreamConnection): void
  reject (error: UpstreamUnreachableError): void
}

/** Keeps a number of connections open and hands them out for one exchange at a time. */
export class UpstreamConnections extends Disposable {
  private readonly _options: IUpstreamConnectionsOptions
  private readonly _open = new Set<UpstreamConnection>()
  private readonly _idle: UpstreamConnection[] = []
  private _waiters: IWaiter[] = []
  private _warmCount = 0
  private _limit = 0
  /** Connection attempts in progress, each with the value of `_offerCount` at its start. */
  private readonly _attempts = new Map<Socket, number>()
  /** Number of times a connection became available, either newly opened or returned after an exchange. */
  private _offerCount = 0
  private _attemptPause: IDisposable | undefined

  constructor (options: IUpstreamConnectionsOptions) {
    super()
    this._options = options
  }

  /** Connections that are currently open. */
  public get open (): ReadonlySet<UpstreamConnection> {
    return this._open
  }

  /** Sets how many connections are opened in advance, and how many may be open in total. */
  public resize (warmCount: number, limit: number): void {
    this._warmCount = Math.min(warmCount, limit)
    this._limit = limit
    this._openMore()
  }

  /** An idle connection; undefined if there is none. */
  public tryAcquire (): UpstreamConnection | undefined {
    let connection = this._idle.pop()
    while (connection !== undefined && !connection.isOpen) connection = this._idle.pop()
    return connection
  }

  /**
   * Resolves with a connection as soon as one is available. Rejects with `UpstreamUnreachableError` when a connection attempt
   * fails, or on cancellation.
   */
  public acquire (cancellation: ICancellation = NO_CANCELLATION): Promise<UpstreamConnection> {
    const idle = this.tryAcquire()
    if (idle !== undefined) return Promise.resolve(idle)
    if (this.isDisposed) return Promise.reject(new UpstreamUnreachableError('gate stopped', { step: 'gate.connect', peer: this._options.address }))
    return new Promise((resolve, reject) => {
      const waiter = { resolve, reject }
      this._waiters.push(waiter)
      cancellation.onCancelled(() => this._cancelWaiter(waiter))
      this._openMore()
    })
  }

  /** Returns a connection to the pool. A connection whose exchange was interrupted is closed and not reused. */
  public release (connection: UpstreamConnection, isReusable: boolean): void {
    if (!isReusable || !connection.isOpen || this.isDisposed) {
      connection.close()
      return
    }
    this._offer(connection)
  }

  /** Closes every connection. */
  public override dispose (): void {
    super.dispose()
    this._attemptPause?.dispose()
    for (const socket of this._attempts.keys()) socket.destroy()
    this._rejectWaiters('gate stopped')
    for (const connection of [...this._open]) connection.close()
  }

  private _cancelWaiter (waiter: IWaiter): void {
    const position = this._waiters.indexOf(waiter)
    if (position < 0) return
    this._waiters.splice(position, 1)
    waiter.reject(new UpstreamUnreachableError('wait for a connection was cancelled', { step: 'gate.connect', peer: this._options.address }))
  }

  /** Passes an available connection to the first waiter; without waiters it becomes idle. */
  private _offer (connection: UpstreamConnection): void {
    this._offerCount++
    const waiter = this._waiters.shift()
    if (waiter === undefined) this._idle.push(connection)
    else waiter.resolve(connection)
  }

  private _openMore (): void {
    const { maximumParallelAttempts = 1 } = this._options
    const attemptLimit = this._open.size === 0 ? 1 : maximumParallelAttempts
    const wanted = Math.min(this._limit, Math.max(this._warmCount, this._open.size + this._waiters.length))
    while (!this.isDisposed && this._attemptPause === undefined && this._attempts.size < attemptLimit) {
      if (this._open.size + this._attempts.size >= wanted) return
      this._openOne()
    }
  }

  private _openOne (): void {
    const { host, port } = splitAddress(this._options.address)
    const socket = connect({ host, port, noDelay: true, keepAlive: true })
    this._attempts.set(socket, this._offerCount)
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
    const { address, verify } = this._options
    const connection = new UpstreamConnection(socket, `http://${address}`)
    const finish = (hasResponded: boolean): void => {
      timeout.dispose()
      if (hasResponded && connection.isOpen) return this._onOpened(socket, connection)
      connection.close()
      this._onFailed(socket, new Error('no response on a new connection'))
    }
    if (verify === undefined) return finish(true)
    verify(connection).then(finish, () => finish(false))
  }

  private _onOpened (socket: Socket, connection: UpstreamConnection): void {
    this._attempts.delete(socket)
    this._open.add(connection)
    socket.once('close', () => { this._onClosed(connection) })
    this._offer(connection)
    this._pauseAttempts()
  }

  private _onClosed (connection: UpstreamConnection): void {
    this._open.delete(connection)
    const position = this._idle.indexOf(connection)
    if (position >= 0) this._idle.splice(position, 1)
    connection.close()
    this._openMore()
  }

  private _onFailed (socket: Socket, cause: Error | undefined): void {
    const offerCountAtStart = this._attempts.get(socket)
    if (!this._attempts.delete(socket)) return
    socket.on('error', ignore)
    if (this.isDisposed) return
    this._pauseAttempts(REOPEN_DELAY_MS)
    // Attempts still in progress may serve the waiters. But if no connection has become available since the failed attempt started,
    // the other side is unresponsive, and all waiters are rejected.
    if (this._attempts.size > 0 && offerCountAtStart !== this._offerCount) return
    this._options.onUnreachable(this._rejectWaiters(cause?.message ?? 'connection closed', cause))
  }

  private _pauseAttempts (duration: Milliseconds = this._options.openInterval): void {
    this._attemptPause?.dispose()
    this._attemptPause = this._options.clock.after(duration, () => {
      this._attemptPause = undefined
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
