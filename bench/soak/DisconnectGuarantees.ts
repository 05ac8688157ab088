/** Checks the guarantees for requests whose callers have disconnected. */
import type { SoakDeployment } from './SoakDeployment.js'
import { FAILURE_KINDS, type DisruptionKind, type IBreach, type ICallerRecord, type IRunRecord, type Moment } from './Types.js'

/** Maximum time from the disconnect of a caller until its running work is cancelled. No work for this caller may start later. */
const CANCELLATION_LIMIT_MS = 500
/** Time from SIGSTOP until the process is certainly suspended. */
const SUSPENSION_DELAY_MS = 10
/** Time within which a running node forwards the disconnect of a caller to the next node. */
const CLOSE_PROPAGATION_MS = 100
/** Late cancellations are tolerated up to this share, or below the minimum count. */
const TOLERATED_LATE_SHARE = 0.25
const MINIMUM_LATE_COUNT = 4
const SUSPENSION_KINDS: readonly DisruptionKind[] = ['paused', 'late']
/** Faults that lose or delay a disconnect between two nodes. */
const CLOSE_DELAY_KINDS: readonly DisruptionKind[] = ['killed', 'link']

/** A run of a request whose caller disconnected, with the caller's record. */
interface IDisconnectedRun {
  readonly answer: ICallerRecord
  readonly run: IRunRecord
}

/** Evaluates the records of all requests whose callers disconnected. */
export class DisconnectGuarantees {
  constructor (private readonly _deployment: SoakDeployment) {}

  /** Returns every guarantee that was not kept. */
  public check (): readonly IBreach[] {
    const disconnected = this._deployment.callerRecords.filter(({ hasLeft }) => hasLeft)
    const runs = disconnected.flatMap((answer) => (this._deployment.runs.get(answer.id) ?? []).map((run) => ({ answer, run })))
    return [
      ...reportBreaches('an incomplete request does not run', runs.filter(({ answer }) => !answer.isWholeSent)),
      ...reportBreaches(
        'a request does not start when its disconnect is already in a receive buffer',
        runs.filter((one) => this._isCloseUnreadAtCallerNode(one) || this._isCloseUnreadAtEndpointNode(one))
      ),
      ...reportBreaches(
        'a non-idempotent request does not start after its caller has disconnected',
        runs.filter((one) => this._isStartedAfterDisconnect(one))
      ),
      ...this._checkCancellation(runs)
    ]
  }

  /**
   * True if the request was sent and its caller disconnected while the caller's node was suspended. The node cannot read the request
   * without the disconnect, so no disruption excuses the run.
   */
  private _isCloseUnreadAtCallerNode ({ answer, run }: IDisconnectedRun): boolean {
    return this._suspensions(answer.node, answer.endedAt).some(([from, until]) => {
      return answer.sentAt >= from + SUSPENSION_DELAY_MS && answer.endedAt <= until && run.startedAt >= until
    })
  }

  /**
   * True if the disconnect had passed the caller's node before the suspended node of the endpoint resumed. A disturbed link or a killed
   * process between the two nodes excuses the run.
   */
  private _isCloseUnreadAtEndpointNode ({ answer, run }: IDisconnectedRun): boolean {
    const propagatedAt = answer.endedAt + CLOSE_PROPAGATION_MS
    if (answer.node === run.node || this._suspensions(answer.node, answer.sentAt, propagatedAt).length > 0) return false
    const isUnread = this._suspensions(run.node, propagatedAt).some(([, until]) => run.startedAt >= until)
    return isUnread && this._deployment.disruptions.isUndisturbed([answer.node, run.node], CLOSE_DELAY_KINDS, answer.sentAt, run.startedAt)
  }

  /**
   * True if a non-idempotent request started late after the disconnect and no failure of a node, link or endpoint on its path excuses it.
   * The two checks above find some late starts in spite of such a failure.
   */
  private _isStartedAfterDisconnect ({ answer, run }: IDisconnectedRun): boolean {
    if (answer.kind !== 'pay' || run.startedAt <= answer.endedAt + CANCELLATION_LIMIT_MS) return false
    return this._deployment.disruptions.isUndisturbed([answer.node, run.node], FAILURE_KINDS, answer.sentAt, run.startedAt)
  }

  private _checkCancellation (runs: readonly IDisconnectedRun[]): readonly IBreach[] {
    const undisturbed = runs.filter(({ answer, run }) => {
      return answer.kind === 'read' && answer.endedAt - answer.sentAt < CANCELLATION_LIMIT_MS && this._deployment.disruptions
        .isUndisturbed([answer.node, run.node], [...FAILURE_KINDS, 'stopping'], answer.sentAt, answer.endedAt + CANCELLATION_LIMIT_MS)
    })
    const late = undisturbed.filter(({ answer, run }) => (run.abandonedAt ?? Infinity) > answer.endedAt + CANCELLATION_LIMIT_MS)
    if (late.length < MINIMUM_LATE_COUNT || late.length <= undisturbed.length * TOLERATED_LATE_SHARE) return []
    return [{ guarantee: 'work is cancelled after its caller has disconnected', detail: `${late.length} of ${undisturbed.length} did not` }]
  }

  private _suspensions (node: string, from: Moment, until = from): ReadonlyArray<readonly [Moment, Moment]> {
    return this._deployment.disruptions.overlapping(SUSPENSION_KINDS, node, from, until)
  }
}

function reportBreaches (guarantee: string, runs: readonly IDisconnectedRun[]): readonly IBreach[] {
  return runs.map((one) => ({ guarantee, detail: JSON.stringify(one) }))
}
