/** Records what callers observed, and compares it with the executions at the upstreams. */
import type { Deployment } from '../../testing/demonstration/Deployment.js'

/** One request of a payment; a payment may be sent several times. */
export interface IPaymentSending {
  readonly key: string
  /** Value of the outcome header, or `broken` if there was no response. */
  readonly outcome: string
}

/** Figures of all calls. */
export interface ICallFigures {
  readonly reads: number
  readonly readsAnswered: number
  /** Reads at nodes that are protected from process faults. */
  readonly protectedReads: number
  readonly protectedReadsAnswered: number
  /** Mismatched or incomplete responses. */
  readonly wrongResponses: number
  readonly payments: number
  readonly paymentsAnswered: number
  readonly maximumExecutions: number
  /** Payments that ran although each of their requests was reported as not run. */
  readonly runAfterNotRun: number
  /** Payments that received a response but did not run. */
  readonly answeredWithoutRun: number
}

/** Records reads and payments. */
export class CallRecord {
  private readonly _sendings: IPaymentSending[] = []
  private _reads = 0
  private _readsAnswered = 0
  private _protectedReads = 0
  private _protectedReadsAnswered = 0
  private _wrongResponses = 0

  /** Records a read. Status 0 stands for a broken connection; `isProtected` means that the node is protected from process faults. */
  public addRead (path: string, status: number, body: string, isProtected: boolean): void {
    this._reads++
    if (isProtected) this._protectedReads++
    if (status !== 200) return
    this._readsAnswered++
    if (isProtected) this._protectedReadsAnswered++
    if (!isResponseTo(path, body)) this._wrongResponses++
  }

  public addPayment (sending: IPaymentSending): void {
    this._sendings.push(sending)
  }

  /** Compares the recorded calls with the executions counted by the upstreams. */
  public computeFigures (deployment: Deployment): ICallFigures {
    const outcomes = new Map<string, string[]>()
    for (const { key, outcome } of this._sendings) outcomes.set(key, [...(outcomes.get(key) ?? []), outcome])
    const payments = [...outcomes].map(([key, reported]) => ({ reported, executions: deployment.executionsOf(key) }))
    const answered = payments.filter(({ reported }) => reported.includes('answered'))
    return {
      reads: this._reads,
      readsAnswered: this._readsAnswered,
      protectedReads: this._protectedReads,
      protectedReadsAnswered: this._protectedReadsAnswered,
      wrongResponses: this._wrongResponses,
      payments: payments.length,
      paymentsAnswered: answered.length,
      maximumExecutions: Math.max(0, ...payments.map(({ executions }) => executions)),
      runAfterNotRun: payments.filter(({ reported, executions }) => executions > 0 && reported.every((outcome) => outcome === 'not-run')).length,
      answeredWithoutRun: answered.filter(({ executions }) => executions === 0).length
    }
  }
}

/** Whether the body is complete and contains the requested path. */
function isResponseTo (path: string, body: string): boolean {
  try {
    return (JSON.parse(body) as { path: string }).path === path
  } catch {
    return false
  }
}
