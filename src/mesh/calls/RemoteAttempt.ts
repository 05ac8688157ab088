/** One attempt under way at another node. */
import type { ICancellation } from '../../common/Cancellation.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import type { UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { CALL_SETTLED } from '../Events.js'
import { encodeCall } from '../exchange/CallCodec.js'
import { HttpExchange, type ExchangeEnd } from '../exchange/HttpExchange.js'
import type { ISettleAnswer, NodeQuestions, SettleReply } from '../exchange/NodeQuestions.js'
import type { PeerClock } from '../exchange/PeerClock.js'
import type { IEndpointLoad, IMeshCall, NodeName } from '../Types.js'

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

/** Time after the deadline in which the node's own answer may still come. */
const DEADLINE_GRACE_MS = 100
/** Least wait for an answer before the node is asked what became of the request, and multiple of the usual time. */
const LEAST_PATIENCE_MS = 300
const PATIENCE_FACTOR = 3
/** Time for the answer to a question that is asked again; bears a link on which packets wait half a second each way. */
export const SECOND_QUESTION_TIMEOUT_MS = 1_000 as Milliseconds
/** Reason of an attempt that was given up since its node answers no question. */
export const NODE_SILENT = 'node does not answer'

/** What is known of the process that an attempt is sent to. */
export interface IPeerProcess {
  readonly token: string | undefined
  readonly clock: PeerClock
}

/** What an attempt notices of its node. */
export interface IAttemptListeners {
  /** Called when the node does not answer a question. */
  readonly onSilent: () => void
  /** Called when it answers the next one. */
  readonly onAnswerAfterSilence: () => void
}

/** Has a deadline, a cancellation, and the question what became of the request. */
export class RemoteAttempt {
  /** True once the node has said that the request never will run. */
  public isProvenNotRun = false
  private readonly _exchange: HttpExchange
  private _question: IDisposable | undefined
  private _isOver = false
  /** True once the node has said that the request has ended there. */
  private _isAnswerSent = false

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
    } else if (reply === 'finished' && !this._isAnswerSent) {
      // The answer comes on another connection than this news, and may be behind it.
      this._isAnswerSent = true
      this._askAfter(LEAST_PATIENCE_MS as Milliseconds)
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
