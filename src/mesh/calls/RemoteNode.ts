/** One other node, as the way to its endpoint. */
import { CancellationSource, type ICancellation } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import { eventLoopIterations } from '../../common/EventLoopIterations.js'
import { waitForPendingInputSince } from '../../common/PendingInput.js'
import type { Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { singleHeader } from '../../routing/AnswerHeaders.js'
import { NODE_SUSPECT, NODE_TRUSTED } from '../Events.js'
import { decodeOutcome, INNER_HEADER } from '../exchange/CallCodec.js'
import type { ExchangeEnd } from '../exchange/HttpExchange.js'
import { PeerClock } from '../exchange/PeerClock.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, RefusalReason } from '../Types.js'
import { NODE_SILENT, RemoteAttempt, SECOND_QUESTION_TIMEOUT_MS, type IRemoteNodeOptions } from './RemoteAttempt.js'

/** Connections to one node. */
const CONNECTION_LIMIT = 256
/** Time between two openings of connections. */
const OPEN_INTERVAL_MS = 1 as Milliseconds
/** A process takes one new connection in each turn of its event loop; many at once would lie there unread. */
const PARALLEL_OPENINGS = 4
/** Two round trips between regions and a busy process on the other side; well below the time that callers wait. */
const OPEN_TIMEOUT_MS = 400 as Milliseconds
/** Tries to find a connection that is still open; a stale one shows before a byte is sent. */
const CONNECTION_TRIES = 3
/** Least time for the answer to a probe of a suspect node. */
const QUESTION_TIMEOUT_MS = 350
/** First and longest time between two probes of a suspect node; an answer may take as long, within the bounds of the questions. */
const SHORTEST_PROBE_INTERVAL_MS = 250
const LONGEST_PROBE_INTERVAL_MS = 2_500

/** Sends calls; asks about those that stay without an answer; keeps requests away while the node is silent. */
export class RemoteNode extends Disposable {
  private readonly _connections: UpstreamConnections
  private _processToken: string | undefined
  /** Of the process with that token. */
  private _peerClock = new PeerClock()
  /** Since when the node does not answer; undefined while it does. */
  private _suspectSince: Timestamp | undefined

  constructor (private readonly _options: IRemoteNodeOptions) {
    super()
    const { address, clock } = _options
    this._connections = this.register(new UpstreamConnections({
      address,
      clock,
      openInterval: OPEN_INTERVAL_MS,
      openTimeout: OPEN_TIMEOUT_MS,
      maximumParallelOpenings: PARALLEL_OPENINGS,
      onUnreachable: () => undefined,
      verify: async (connection) => await this._greet(connection)
    }))
    this._connections.resize(0, CONNECTION_LIMIT)
  }

  public get address (): NetworkAddress {
    return this._options.address
  }

  /** True while the node does not answer. */
  public get isSuspect (): boolean {
    return this._suspectSince !== undefined
  }

  /** Runs one attempt. Never rejects. `expected`: usual time to the answer. */
  public async execute (call: IMeshCall, expected: Milliseconds, cancellation: ICancellation): Promise<AttemptOutcome> {
    const { clock } = this._options
    const turn = eventLoopIterations()
    let connectTime: Milliseconds | undefined
    for (let tries = 0; tries < CONNECTION_TRIES; tries++) {
      const askedAt = clock.now()
      const connection = await this._acquire(call, cancellation, turn)
      connectTime = addedWait(connectTime, clock.now() - askedAt)
      if (typeof connection === 'string') return { kind: 'refused', reason: connection, connectTime }
      const sentAt = clock.now()
      const attempt = new RemoteAttempt(this._options, call, { token: this._processToken, clock: this._peerClock }, {
        onSilent: () => this._suspect('no answer to a question'),
        onAnswerAfterSilence: () => this._trust()
      })
      const end = await attempt.run(connection, expected, cancellation)
      this._connections.release(connection, end.kind === 'answer')
      if (end.kind !== 'not-sent') return { ...await this._interpret(attempt, end, call, sentAt), connectTime }
    }
    return { kind: 'refused', reason: 'unreachable', connectTime }
  }

  /**
   * A request is sent only where the other process has answered: one that is busy with its start accepts connections late, and
   * reads what was sent on them when nobody waits for it any more. Meanwhile the request can still go elsewhere.
   */
  private async _greet (connection: UpstreamConnection): Promise<boolean> {
    const { questions, address, onLoad, clock } = this._options
    const askedAt = clock.now()
    const answer = await questions.greet(connection, address)
    if (answer === undefined) return false
    this._noteProcess(answer.processToken, answer.load, askedAt)
    if (answer.load !== undefined) onLoad(answer.load, clock.now())
    return true
  }

  private async _interpret (
    attempt: RemoteAttempt, end: Exclude<ExchangeEnd, { kind: 'not-sent' }>, call: IMeshCall, sentAt: Timestamp
  ): Promise<AttemptOutcome> {
    if (end.kind === 'answer') {
      const outcome = decodeOutcome(end.status, end.headers, end.body)
      const token = singleHeader(end.headers, INNER_HEADER.processToken)
      if (token !== undefined) this._noteProcess(token, outcome?.load, sentAt)
      return outcome ?? { kind: 'unknown', reason: 'answer of no node' }
    }
    if (attempt.isProvenNotRun) return { kind: 'refused', reason: 'unreachable' }
    if (end.reason === 'deadline' || end.reason === 'cancelled') return { kind: 'unknown', reason: end.reason }
    if (end.reason === NODE_SILENT) return { kind: 'unknown', reason: `${this._options.name} does not answer` }
    // The connection broke: only the node knows whether the request has begun.
    const reply = await attempt.settle()
    if (reply === undefined) this._suspect('connection broke and the node does not answer')
    return reply === 'never-will-be' ? { kind: 'refused', reason: 'unreachable' } : { kind: 'unknown', reason: `connection to ${call.endpoint} broke` }
  }

  /** Takes what an answer tells of the process that gave it; another process has another clock. */
  private _noteProcess (token: string | undefined, load: IEndpointLoad | undefined, askedAt: Timestamp): void {
    if (token !== this._processToken) this._peerClock = new PeerClock()
    this._processToken = token
    if (load?.toldAt === undefined) return
    this._peerClock.note({ askedAt, answeredAt: this._options.clock.now(), toldAt: load.toldAt, handled: load.handled })
  }

  /** A connection, or why there is none in time. `turn`: in which the caller was known to wait. */
  private async _acquire (
    { deadlineAt }: IMeshCall, cancellation: ICancellation, turn: number
  ): Promise<UpstreamConnection | RefusalReason> {
    const { clock } = this._options
    const wait = new CancellationSource()
    const left = cancellation.onCancelled(() => wait.cancel())
    const deadline = clock.after(deadlineAt - clock.now() as Milliseconds, () => wait.cancel())
    try {
      const connection = await this._connections.acquire(wait)
      // Where there was a wait, the caller's leaving may have arrived meanwhile; it is known before the event comes.
      await waitForPendingInputSince(turn)
      if (!wait.isCancelled && !cancellation.isCancelled) return connection
      this._connections.release(connection, true)
    } catch (error) {
      if (!wait.isCancelled) {
        this._suspect(String(error))
        return 'unreachable'
      }
    } finally {
      left.dispose()
      deadline.dispose()
    }
    return cancellation.isCancelled ? 'cancelled' : 'deadline'
  }

  private _suspect (reason: string): void {
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

  /** The node has answered a question that was asked after it had become suspect. */
  private _trust (): void {
    const { log, name, clock } = this._options
    if (this._suspectSince === undefined) return
    log.log(NODE_TRUSTED, { step: 'calls.node', peer: name, silentMs: clock.now() - this._suspectSince })
    this._suspectSince = undefined
  }

  private async _probeUntilTrusted (since: Timestamp): Promise<void> {
    const { questions, clock, address, onLoad } = this._options
    for (let interval = SHORTEST_PROBE_INTERVAL_MS; !this.isDisposed; interval = Math.min(LONGEST_PROBE_INTERVAL_MS, interval * 1.5)) {
      await clock.sleep(interval as Milliseconds)
      if (this._suspectSince !== since) return
      // A link on which packets wait lets no answer through in the time of the first question, however often it is asked.
      const patience = Math.min(SECOND_QUESTION_TIMEOUT_MS, Math.max(QUESTION_TIMEOUT_MS, interval)) as Milliseconds
      const askedAt = clock.now()
      const answer = await questions.probe(address, patience)
      if (answer === undefined) continue
      this._noteProcess(answer.processToken, answer.load, askedAt)
      if (answer.load !== undefined) onLoad(answer.load, clock.now())
      if (this._suspectSince === since) this._trust()
      return
    }
  }
}

/** Undefined while nothing was waited for. */
function addedWait (sum: Milliseconds | undefined, wait: number): Milliseconds | undefined {
  return wait > 0 ? (sum ?? 0) + wait as Milliseconds : sum
}
