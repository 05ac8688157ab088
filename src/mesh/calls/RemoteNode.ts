/** Client for one other node, which forwards calls to its endpoint. */
import { CancellationSource, type ICancellation } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import { eventLoopIterations } from '../../common/EventLoopIterations.js'
import { waitForPendingInputSince } from '../../common/PendingInput.js'
import type { Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { singleHeader } from '../../routing/ResponseHeaders.js'
import { NODE_SUSPECT, NODE_TRUSTED } from '../Events.js'
import { decodeOutcome, NODE_HEADER } from '../exchange/CallCodec.js'
import type { ExchangeResult } from '../exchange/HttpExchange.js'
import { PeerClock } from '../exchange/PeerClock.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, RefusalReason } from '../Types.js'
import { NODE_UNRESPONSIVE, RemoteAttempt, SECOND_QUERY_TIMEOUT_MS, type IRemoteNodeOptions } from './RemoteAttempt.js'

/** Maximum number of connections to one node. */
const MAXIMUM_CONNECTIONS = 256
/** Minimum time between two connection attempts. */
const OPEN_INTERVAL_MS = 1 as Milliseconds
/**
 * Maximum number of connection attempts in progress. A process accepts one new connection per event loop iteration, so requests on
 * many simultaneous connections would stay unread.
 */
const PARALLEL_CONNECTION_ATTEMPTS = 4
/**
 * Timeout of a connection attempt. Allows for two round trips between regions and a busy process on the other side; well below the
 * timeouts of callers.
 */
const OPEN_TIMEOUT_MS = 400 as Milliseconds
/** Maximum number of connections tried for a call. The next one is tried only if no byte of the request was sent on the previous one. */
const MAXIMUM_CONNECTION_ATTEMPTS = 3
/** Minimum timeout of a probe of a suspect node. */
const MINIMUM_PROBE_TIMEOUT_MS = 350
/** Initial and maximum interval between probes of a suspect node; also the timeout of a probe, within the bounds of the query timeouts. */
const MINIMUM_PROBE_INTERVAL_MS = 250
const MAXIMUM_PROBE_INTERVAL_MS = 2_500

/** Sends calls, queries the state of calls without a response, and marks the node as suspect while it is unresponsive. */
export class RemoteNode extends Disposable {
  private readonly _connections: UpstreamConnections
  private _processToken: string | undefined
  /** Clock of the process with `_processToken`. */
  private _peerClock = new PeerClock()
  /** When the node became unresponsive; undefined while it responds. */
  private _suspectSince: Timestamp | undefined

  constructor (private readonly _options: IRemoteNodeOptions) {
    super()
    const { address, clock } = _options
    this._connections = this.register(new UpstreamConnections({
      address,
      clock,
      openInterval: OPEN_INTERVAL_MS,
      openTimeout: OPEN_TIMEOUT_MS,
      maximumParallelAttempts: PARALLEL_CONNECTION_ATTEMPTS,
      onUnreachable: () => undefined,
      verify: async (connection) => await this._verifyConnection(connection)
    }))
    this._connections.resize(0, MAXIMUM_CONNECTIONS)
  }

  public get address (): NetworkAddress {
    return this._options.address
  }

  /** True while the node does not respond. */
  public get isSuspect (): boolean {
    return this._suspectSince !== undefined
  }

  /** Runs one attempt. Never rejects. `expected`: expected time until the response. */
  public async execute (call: IMeshCall, expected: Milliseconds, cancellation: ICancellation): Promise<AttemptOutcome> {
    const { clock } = this._options
    const iteration = eventLoopIterations()
    let connectTime: Milliseconds | undefined
    for (let tries = 0; tries < MAXIMUM_CONNECTION_ATTEMPTS; tries++) {
      const waitStartedAt = clock.now()
      const connection = await this._acquire(call, cancellation, iteration)
      connectTime = addedWait(connectTime, clock.now() - waitStartedAt)
      if (typeof connection === 'string') return { kind: 'refused', reason: connection, connectTime }
      const sentAt = clock.now()
      const attempt = new RemoteAttempt(this._options, call, { token: this._processToken, clock: this._peerClock }, {
        onUnresponsive: () => this._markSuspect('no response to a settle query'),
        onResponsive: () => this._clearSuspicion()
      }, cancellation)
      const end = await attempt.run(connection, expected)
      this._connections.release(connection, end.kind === 'answer')
      if (end.kind !== 'not-sent') return { ...await this._interpret(attempt, end, call, sentAt), connectTime }
    }
    return { kind: 'refused', reason: 'unreachable', connectTime }
  }

  /**
   * Probes a new connection before requests are sent on it. A process that is busy starting accepts connections late, and would read
   * requests on them only after their callers have timed out. Without a response to the probe, a request can still be sent elsewhere.
   */
  private async _verifyConnection (connection: UpstreamConnection): Promise<boolean> {
    const { queries, address, onLoad, clock } = this._options
    const sentAt = clock.now()
    const response = await queries.probeOnConnection(connection, address)
    // A response without a token was not written by a node.
    if (response?.processToken === undefined) return false
    this._recordProcess(response.processToken, response.load, sentAt)
    if (response.load !== undefined) onLoad(response.load, clock.now())
    return true
  }

  private async _interpret (
    attempt: RemoteAttempt, end: Exclude<ExchangeResult, { kind: 'not-sent' }>, call: IMeshCall, sentAt: Timestamp
  ): Promise<AttemptOutcome> {
    if (end.kind === 'answer') {
      const outcome = decodeOutcome(end.status, end.headers, end.body)
      const token = singleHeader(end.headers, NODE_HEADER.processToken)
      if (token !== undefined) this._recordProcess(token, outcome?.load, sentAt)
      return outcome ?? { kind: 'unknown', reason: 'response was not written by a node' }
    }
    if (attempt.isProvenNotRun) return { kind: 'refused', reason: 'unreachable' }
    if (end.reason === 'deadline' || end.reason === 'cancelled') return { kind: 'unknown', reason: end.reason }
    if (end.reason === NODE_UNRESPONSIVE) return { kind: 'unknown', reason: `${this._options.name} does not respond` }
    // The connection broke: only the node knows whether the request has started.
    const reply = await attempt.settle()
    if (reply === undefined) this._markSuspect('connection broke and the node does not respond')
    return reply === 'never-will-be' ? { kind: 'refused', reason: 'unreachable' } : { kind: 'unknown', reason: `connection to ${call.endpoint} broke` }
  }

  /** Records the process that responded and a sample of its clock. The clock estimate is reset when the process changes. */
  private _recordProcess (token: string | undefined, load: IEndpointLoad | undefined, sentAt: Timestamp): void {
    if (token !== this._processToken) this._peerClock = new PeerClock()
    this._processToken = token
    if (load?.reportedAt === undefined) return
    this._peerClock.recordSample({ sentAt, receivedAt: this._options.clock.now(), reportedAt: load.reportedAt, handled: load.handled })
  }

  /** Returns a connection or the reason of a refusal. `iteration`: event loop iteration in which the caller was known to be connected. */
  private async _acquire (
    { deadlineAt }: IMeshCall, cancellation: ICancellation, iteration: number
  ): Promise<UpstreamConnection | RefusalReason> {
    const { clock } = this._options
    const wait = new CancellationSource()
    const subscription = cancellation.onCancelled(() => wait.cancel())
    const deadline = clock.after(deadlineAt - clock.now() as Milliseconds, () => wait.cancel())
    try {
      const connection = await this._connections.acquire(wait)
      // The caller may have disconnected during the wait. `isCancelled` is set as soon as the disconnect is read, before its event.
      await waitForPendingInputSince(iteration)
      if (!wait.isCancelled && !cancellation.isCancelled) return connection
      this._connections.release(connection, true)
    } catch (error) {
      if (!wait.isCancelled) {
        this._markSuspect(String(error))
        return 'unreachable'
      }
    } finally {
      subscription.dispose()
      deadline.dispose()
    }
    return cancellation.isCancelled ? 'cancelled' : 'deadline'
  }

  private _markSuspect (reason: string): void {
    const { log, name, clock } = this._options
    if (this.isSuspect || this.isDisposed) return
    const since = clock.now()
    this._suspectSince = since
    log.log(NODE_SUSPECT, { step: 'calls.node', peer: name, reason })
    this._probeUntilTrusted(since).catch((error: unknown) => {
      this._suspectSince = undefined
      log.log(NODE_TRUSTED, { step: 'calls.node', peer: name, reason: String(error) })
    })
  }

  /** Called when the node has responded to a query that was sent after it had become suspect. */
  private _clearSuspicion (): void {
    const { log, name, clock } = this._options
    if (this._suspectSince === undefined) return
    log.log(NODE_TRUSTED, { step: 'calls.node', peer: name, silentMs: clock.now() - this._suspectSince })
    this._suspectSince = undefined
  }

  private async _probeUntilTrusted (since: Timestamp): Promise<void> {
    const { queries, clock, address, onLoad } = this._options
    for (let interval = MINIMUM_PROBE_INTERVAL_MS; !this.isDisposed; interval = Math.min(MAXIMUM_PROBE_INTERVAL_MS, interval * 1.5)) {
      await clock.sleep(interval as Milliseconds)
      if (this._suspectSince !== since) return
      // On a congested link no response arrives within the minimum timeout, however often the probe is repeated.
      const timeout = Math.min(SECOND_QUERY_TIMEOUT_MS, Math.max(MINIMUM_PROBE_TIMEOUT_MS, interval)) as Milliseconds
      const sentAt = clock.now()
      const response = await queries.probe(address, timeout)
      if (response === undefined) continue
      this._recordProcess(response.processToken, response.load, sentAt)
      if (response.load !== undefined) onLoad(response.load, clock.now())
      if (this._suspectSince === since) this._clearSuspicion()
      return
    }
  }
}

/** Adds a wait to the sum; undefined while there was no wait. */
function addedWait (sum: Milliseconds | undefined, wait: number): Milliseconds | undefined {
  return wait > 0 ? (sum ?? 0) + wait as Milliseconds : sum
}
