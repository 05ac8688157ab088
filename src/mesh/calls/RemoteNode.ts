/** One other node, as the way to its endpoint. */
import { CancellationSource, type ICancellation } from '../../common/Cancellation.js'
import { Disposable } from '../../common/Disposable.js'
import { loopTurns } from '../../common/LoopTurns.js'
import { pendingInputReadSince } from '../../common/PendingInput.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { singleHeader } from '../../routing/AnswerHeaders.js'
import { CALL_SETTLED, NODE_SUSPECT, NODE_TRUSTED } from '../Events.js'
import { decodeOutcome, encodeCall, INNER_HEADER } from '../exchange/CallCodec.js'
import { HttpExchange, type ExchangeEnd } from '../exchange/HttpExchange.js'
import type { ISettleAnswer, NodeQuestions, SettleReply } from '../exchange/NodeQuestions.js'
import { PeerClock } from '../exchange/PeerClock.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, NodeName, RefusalReason } from '../Types.js'

/** What a remote node needs. */
export interface IRemoteNodeOptions {
  readonly name: NodeName
  readonly address: NetworkAddress
  readonly questions: NodeQuestions
  readonly clock: IClockService
  readonly log: ILogService
  /** Called with the load that a probe or a question brought. */
  readonly onLoad: (load: IEndpointLoad, now: Timestamp) => void
}

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
/** Time after the deadline in which the node's own answer may still come. */
const DEADLINE_GRACE_MS = 100
/** Least wait for an answer before the node is asked what became of the request, and multiple of the usual time. */
const LEAST_PATIENCE_MS = 300
const PATIENCE_FACTOR = 3
/** Least time for the answer to a probe of a suspect node. */
const QUESTION_TIMEOUT_MS = 350
/** Time for the answer to a question that is asked again; bears a link on which packets wait half a second each way. */
const SECOND_QUESTION_TIMEOUT_MS = 1_000 as Milliseconds
const NODE_SILENT = 'node does not answer'
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
      parallelOpenings: PARALLEL_OPENINGS,
      onUnreachable: () => undefined,
      greet: async (connection) => await this._greet(connection)
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
    const turn = loopTurns()
    let connectTime: Milliseconds | undefined
    for (let tries = 0; tries < CONNECTION_TRIES; tries++) {
      const askedAt = clock.now()
      const connection = await this._acquire(call, cancellation, turn)
      connectTime = addedWait(connectTime, clock.now() - askedAt)
      if (typeof connection === 'string') return { kind: 'refused', reason: connection, connectTime }
      const sentAt = clock.now()
      const attempt = new Attempt(this._options, call, { token: this._processToken, clock: this._peerClock }, {
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
    attempt: Attempt, end: Exclude<ExchangeEnd, { kind: 'not-sent' }>, call: IMeshCall, sentAt: Timestamp
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
      await pendingInputReadSince(turn)
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

/** What is known of the process that an attempt is sent to. */
interface IPeerProcess {
  readonly token: string | undefined
  readonly clock: PeerClock
}

/** What an attempt notices of its node. */
interface IAttemptListeners {
  /** Called when the node does not answer a question. */
  readonly onSilent: () => void
  /** Called when it answers the next one. */
  readonly onAnswerAfterSilence: () => void
}

/** One attempt under way: deadline, cancellation, and the question what became of it. */
class Attempt {
  /** True once the node has said that the request never will run. */
  public isProvenNotRun = false
  private readonly _exchange: HttpExchange
  private _question: IDisposable | undefined
  private _isOver = false

  constructor (
    private readonly _options: IRemoteNodeOptions,
    private readonly _call: IMeshCall,
    private readonly _process: IPeerProcess,
    private readonly _listeners: IAttemptListeners
  ) {
    this._exchange = new HttpExchange({
      method: _call.method, path: _call.path, fields: encodeCall(_call, _options.clock.now(), _process.clock), body: _call.body
    })
  }

  public async run (connection: UpstreamConnection, expected: Milliseconds, cancellation: ICancellation): Promise<ExchangeEnd> {
    const { clock } = this._options
    const remaining = this._call.deadlineAt - clock.now()
    const deadline = clock.after(remaining + DEADLINE_GRACE_MS as Milliseconds, () => this._exchange.abort('deadline'))
    // The other node withdraws a request that waits; one that runs and must not run twice it leaves to finish.
    const cancel = cancellation.onCancelled(() => this._exchange.abort('cancelled'))
    this._askAfter(Math.max(LEAST_PATIENCE_MS, expected * PATIENCE_FACTOR) as Milliseconds)
    const end = await this._exchange.run(connection)
    this._isOver = true
    deadline.dispose()
    cancel.dispose()
    this._question?.dispose()
    return end
  }

  /** What the node says of the request; undefined if it does not answer. */
  public async settle (timeout?: Milliseconds): Promise<SettleReply | undefined> {
    const { clock, log, name, onLoad } = this._options
    const answer = await this._askNode(timeout)
    // An endpoint that keeps its requests tells nothing by answers.
    if (answer?.load !== undefined) onLoad(answer.load, clock.now())
    const reply = answer?.reply
    log.log(CALL_SETTLED, { step: 'calls.settle', peer: name, request: this._call.callerRequestId, reply: reply ?? 'no answer' })
    return reply
  }

  /** As long as no answer has told which process is there, the node can say nothing of a request, but that it lives. */
  private async _askNode (timeout: Milliseconds | undefined): Promise<ISettleAnswer | undefined> {
    const { questions, address } = this._options
    const { token } = this._process
    if (token !== undefined) return await questions.settle(address, this._call.requestId, token, timeout)
    const probe = await questions.probe(address, timeout)
    return probe === undefined ? undefined : { reply: 'running', load: probe.load }
  }

  private _askAfter (patience: Milliseconds): void {
    this._question = this._options.clock.after(patience, () => {
      this._ask(patience).catch((error: unknown) => this._exchange.abort(`question failed: ${String(error)}`))
    })
  }

  /** Ends the attempt if there is nothing to wait for any more. */
  private async _ask (patience: Milliseconds): Promise<void> {
    const reply = await this._settleTwice()
    if (this._isOver) return
    if (reply === 'never-will-be') {
      this.isProvenNotRun = true
      this._exchange.abort('never began')
    } else if (reply === 'running' || reply === 'other-process' || this._call.repeat !== 'idempotent') {
      // Another process than the one known before: the request was sent to it, or its connection will break by itself.
      this._askAfter(patience * 2 as Milliseconds)
    } else {
      this._exchange.abort(reply === undefined ? NODE_SILENT : 'answer was lost')
    }
  }

  /** A question that is lost or late on a full link says nothing of the request, which may be at work; it is asked again with more time. */
  private async _settleTwice (): Promise<SettleReply | undefined> {
    const reply = await this.settle()
    if (reply !== undefined) return reply
    this._listeners.onSilent()
    if (this._isOver) return undefined
    const second = await this.settle(SECOND_QUESTION_TIMEOUT_MS)
    if (second !== undefined) this._listeners.onAnswerAfterSilence()
    return second
  }
}
