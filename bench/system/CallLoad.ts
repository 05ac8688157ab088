/** Callers that send reads and payments to random nodes while faults occur. */
import type { IRandomService } from '../../src/common/Services.js'
import { call } from '../../testing/demonstration/Caller.js'
import type { Deployment } from '../../testing/demonstration/Deployment.js'
import { PROTECTED_NODES } from './Faults.js'
import type { CallRecord } from './CallRecord.js'

const READ_INTERVAL_MS = 10
const PAYMENT_INTERVAL_MS = 40
/** Maximum number of times that a payment is sent, including the first time. */
const MAXIMUM_SENDINGS = 4
const MAXIMUM_RESEND_DELAY_MS = 1_500

/** Sends calls until it is stopped. */
export class CallLoad {
  private _isStopped = false
  private _nextNumber = 0
  private readonly _pending = new Set<Promise<void>>()
  private _loops: Promise<void> | undefined

  constructor (private readonly _deployment: Deployment, private readonly _random: IRandomService, private readonly _record: CallRecord) {}

  public start (): void {
    this._loops = Promise.all([
      this._runLoop(READ_INTERVAL_MS, () => this._read()),
      this._runLoop(PAYMENT_INTERVAL_MS, () => this._pay())
    ]).then(() => {})
  }

  /** Stops sending calls and waits for pending ones. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await this._loops
    await Promise.all(this._pending)
  }

  private async _runLoop (intervalMs: number, startCall: () => Promise<void>): Promise<void> {
    while (!this._isStopped) {
      const pendingCall = startCall()
      this._pending.add(pendingCall)
      pendingCall.finally(() => this._pending.delete(pendingCall)).catch(() => {})
      await sleep(intervalMs)
    }
  }

  private async _read (): Promise<void> {
    const path = `/status/${this._nextNumber++}`
    const { nodes } = this._deployment
    const position = this._random.integer(nodes.length)
    const response = await call(nodes[position]?.callerUrl ?? '', 'status', 'GET', path).catch(() => ({ status: 0, body: '' }))
    this._record.addRead(path, response.status, response.body, position < PROTECTED_NODES)
  }

  /** Sends one payment several times to random nodes, with probability 0.5 each time without waiting for the response. */
  private async _pay (): Promise<void> {
    const key = `payment-${this._nextNumber++}`
    const sendings = 1 + this._random.integer(MAXIMUM_SENDINGS)
    for (let sending = 0; sending < sendings; sending++) {
      const sent = this._sendPayment(key)
      if (this._random.fraction() < 0.5) await sent
      await sleep(this._random.integer(MAXIMUM_RESEND_DELAY_MS))
    }
  }

  private async _sendPayment (key: string): Promise<void> {
    const sent = call(this._randomCallerUrl(), 'fees', 'POST', '/payments', key)
      .then(({ outcome }) => outcome, () => 'broken')
      .then((outcome) => this._record.addPayment({ key, outcome }))
    this._pending.add(sent)
    await sent.finally(() => this._pending.delete(sent))
  }

  private _randomCallerUrl (): string {
    const { nodes } = this._deployment
    return nodes[this._random.integer(nodes.length)]?.callerUrl ?? ''
  }
}

function sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}
