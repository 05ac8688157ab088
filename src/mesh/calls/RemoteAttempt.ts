/** One attempt in progress at another node. */
import type { ICancellation } from '../../common/Cancellation.js'
import { hasReadPendingInput } from '../../common/PendingInput.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IDisposable, Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import type { UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { CALL_SETTLED } from '../Events.js'
import { encodeCall } from '../exchange/CallCodec.js'
import { HttpExchange, type ExchangeResult } from '../exchange/HttpExchange.js'
import type { ISettleResponse, NodeQueries, SettleReply } from '../exchange/NodeQueries.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import type { PeerClock } from '../exchange/PeerClock.js'
import type { IEndpointLoad, IMeshCall, NodeName } from '../Types.js'

/** Dependencies and address of a remote node. */
export interface IRemoteNodeOptions {
  readonly name: NodeName
  readonly address: NetworkAddress
  readonly queries: NodeQueries
  readonly clock: IClockService
  readonly log: ILogService
  /** Limits the memory of responses; without it only each single response is limited. */
  readonly responseBuffers?: ResponseBufferBudget
  /** Called with the load in the response to a probe or a settle query. */
  readonly onLoad: (load: IEndpointLoad, now: Timestamp) => void
}

/** Time after the deadline in which the node's own response may still arrive. */
const DEADLINE_GRACE_MS = 100
/** Delay before the node is queried for the state of the request: a minimum, and a multiple of the expected time. */
const MINIMUM_SETTLE_DELAY_MS = 300
const SETTLE_DELAY_FACTOR = 3
/** Timeout of a repeated settle query; long enough for a link that delays packets by half a second in each direction. */
export const SECOND_QUERY_TIMEOUT_MS = 1_000 as Milliseconds
/** Reason of an attempt that was aborted because its node responds to no settle query. */
export const NODE_UNRESPONSIVE = 'node does not respond'

/** Token and clock of the process that an attempt is sent to. */
export interface IPeerProcess {
  readonly token: string | undefined
  readonly clock: PeerClock
}

/** Callbacks for the responsiveness of the node. */
export interface IAttemptListeners {
  /** Called when the node does not respond to a settle query. */
  readonly onUnresponsive: () => void
  /** Called when the node responds to the repeated settle query. */
  readonly onResponsive: () => void
}

/** Runs an exchange with a deadline, a cancellation, and settle queries while there is no response. */
export class RemoteAttempt {
  /** True once the node has stated that the request will never run. */
  public isProvenNotRun = false
  private readonly _exchange: HttpExchange
  private _settleTimer: IDisposable | undefined
  private _hasEnded = false
  /** True once the node has stated that the request has finished there. */
  private _isFinishedAtNode = false

  constructor (
    private readonly _options: IRemoteNodeOptions,
    private readonly _call: IMeshCall,
    private readonly _process: IPeerProcess,
    private readonly _listeners: IAttemptListeners,
    private readonly _cancellation: ICancellation
  ) {
    this._exchange = new HttpExchange({
      method: _call.method,
      path: _call.path,
      fields: encodeCall(_call, _options.clock.now(), _process.clock),
      body: _call.body,
      bufferBudget: _options.responseBuffers,
      // If this process was suspended just now, the disconnect of the caller may be unread.
      shouldStart: () => hasReadPendingInput() && !_cancellation.isCancelled
    })
  }

  public async run (connection: UpstreamConnection, expected: Milliseconds): Promise<ExchangeResult> {
    const { clock } = this._options
    const remaining = this._call.deadlineAt - clock.now()
    const deadline = clock.after(remaining + DEADLINE_GRACE_MS as Milliseconds, () => this._exchange.abort('deadline'))
    // The other node removes a queued request from its queue; it lets a running non-idempotent request finish.
    const cancel = this._cancellation.onCancelled(() => this._exchange.abort('cancelled'))
    this._scheduleSettle(Math.max(MINIMUM_SETTLE_DELAY_MS, expected * SETTLE_DELAY_FACTOR) as Milliseconds)
    const end = await this._exchange.run(connection)
    this._hasEnded = true
    deadline.dispose()
    cancel.dispose()
    this._settleTimer?.dispose()
    return end
  }

  /** Queries the node for the state of the request; undefined if the node does not respond. */
  public async settle (timeout?: Milliseconds): Promise<SettleReply | undefined> {
    const { clock, log, name, onLoad } = this._options
    const response = await this._queryNode(timeout)
    // An endpoint that has stalled sends no responses that would report its load.
    if (response?.load !== undefined) onLoad(response.load, clock.now())
    const reply = response?.reply
    log.log(CALL_SETTLED, { step: 'calls.settle', peer: name, request: this._call.callerRequestId, reply: reply ?? 'no response' })
    return reply
  }

  /** Without a process token the node cannot be queried for a request; a response to a probe shows only that the node is alive. */
  private async _queryNode (timeout: Milliseconds | undefined): Promise<ISettleResponse | undefined> {
    const { queries, address } = this._options
    const { token } = this._process
    if (token !== undefined) return await queries.settle(address, this._call.requestId, token, timeout)
    const probe = await queries.probe(address, timeout)
    return probe === undefined ? undefined : { reply: 'running', load: probe.load }
  }

  private _scheduleSettle (delay: Milliseconds): void {
    this._settleTimer = this._options.clock.after(delay, () => {
      this._settleOrAbort(delay).catch((error: unknown) => this._exchange.abort(`settle query failed: ${String(error)}`))
    })
  }

  /** Aborts the attempt if its response can no longer arrive. */
  private async _settleOrAbort (delay: Milliseconds): Promise<void> {
    const reply = await this._settleWithRetry()
    if (this._hasEnded) return
    if (reply === 'never-will-be') {
      this.isProvenNotRun = true
      this._exchange.abort('request never started')
    } else if (reply === 'running' || reply === 'other-process' || this._call.repeat !== 'idempotent') {
      // `other-process`: the request was sent to the new process, or the connection to the previous process will break by itself.
      this._scheduleSettle(delay * 2 as Milliseconds)
    } else if (reply === 'finished' && !this._isFinishedAtNode) {
      // The response is sent on another connection than the settle reply, and may arrive after it.
      this._isFinishedAtNode = true
      this._scheduleSettle(MINIMUM_SETTLE_DELAY_MS as Milliseconds)
    } else {
      this._exchange.abort(reply === undefined ? NODE_UNRESPONSIVE : 'response was lost')
    }
  }

  /** A settle query may be lost or delayed on a congested link while the request runs, so it is repeated with a longer timeout. */
  private async _settleWithRetry (): Promise<SettleReply | undefined> {
    const reply = await this.settle()
    if (reply !== undefined) return reply
    this._listeners.onUnresponsive()
    if (this._hasEnded) return undefined
    const second = await this.settle(SECOND_QUERY_TIMEOUT_MS)
    if (second !== undefined) this._listeners.onResponsive()
    return second
  }
}
