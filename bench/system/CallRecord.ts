/** What callers saw, held against what upstreams ran. */
import type { Deployment } from '../../testing/demonstration/Deployment.js'

/** One sending of a payment. */
export interface IPaymentSending {
  readonly key: string
  /** The outcome header, or `broken` if no answer came. */
  readonly outcome: string
}

/** Figures about calls. */
export interface ICallFigures {
  readonly reads: number
  readonly readsAnswered: number
  /** Reads at nodes that no fault of a process touched. */
  readonly sparedReads: number
  readonly sparedReadsAnswered: number
  /** Answers that were not for their request, or not whole. */
  readonly wrongAnswers: number
  readonly payments: number
  readonly paymentsAnswered: number
  readonly mostExecutions: number
  /** Payments of which every sending was told that it was not run, and which ran. */
  readonly runAfterNotRun: number
  /** Payments that were answered and did not run. */
  readonly answeredWithoutRun: number
}

/** Collects reads and payments. */
export class CallRecord {
  private readonly _sendings: IPaymentSending[] = []
  private _reads = 0
  private _readsAnswered = 0
  private _sparedReads = 0
  private _sparedReadsAnswered = 0
  private _wrongAnswers = 0

  /** Status 0 is a broken connection. `isSpared` tells that no fault of a process touched the node. */
  public addRead (path: string, status: number, body: string, isSpared: boolean): void {
    this._reads++
    if (isSpared) this._sparedReads++
    if (status !== 200) return
    this._readsAnswered++
    if (isSpared) this._sparedReadsAnswered++
    if (!isAnswerTo(path, body)) this._wrongAnswers++
  }

  public addPayment (sending: IPaymentSending): void {
    this._sendings.push(sending)
  }

  /** Compares with the executions that the upstreams counted. */
  public figures (deployment: Deployment): ICallFigures {
    const outcomes = new Map<string, string[]>()
    for (const { key, outcome } of this._sendings) outcomes.set(key, [...(outcomes.get(key) ?? []), outcome])
    const payments = [...outcomes].map(([key, seen]) => ({ seen, executions: deployment.executionsOf(key) }))
    const answered = payments.filter(({ seen }) => seen.includes('answered'))
    return {
      reads: this._reads,
      readsAnswered: this._readsAnswered,
      sparedReads: this._sparedReads,
      sparedReadsAnswered: this._sparedReadsAnswered,
      wrongAnswers: this._wrongAnswers,
      payments: payments.length,
      paymentsAnswered: answered.length,
      mostExecutions: Math.max(0, ...payments.map(({ executions }) => executions)),
      runAfterNotRun: payments.filter(({ seen, executions }) => executions > 0 && seen.every((outcome) => outcome === 'not-run')).length,
      answeredWithoutRun: answered.filter(({ executions }) => executions === 0).length
    }
  }
}

/** True if the body is whole and names the path that was asked for. */
function isAnswerTo (path: string, body: string): boolean {
  try {
    return (JSON.parse(body) as { path: string }).path === path
  } catch {
    return false
  }
}
