/** Callers that read and pay at random nodes while faults come and go. */
import type { IRandomService } from '../../src/common/Services.js'
import { call } from '../../testing/demonstration/Caller.js'
import type { Deployment } from '../../testing/demonstration/Deployment.js'
import { SPARED_NODES } from './Faults.js'
import type { CallRecord } from './CallRecord.js'

const READ_INTERVAL_MS = 10
const PAYMENT_INTERVAL_MS = 40
/** Most sendings of one payment, the first included. */
const SENDINGS_LIMIT = 4
const REPEAT_LIMIT_MS = 1_500

/** Runs until it is stopped. */
export class CallLoad {
  private _isStopped = false
  private _nextNumber = 0
  private readonly _pending = new Set<Promise<void>>()
  private _loops: Promise<void> | undefined

  constructor (private readonly _deployment: Deployment, private readonly _random: IRandomService, private readonly _record: CallRecord) {}

  public start (): void {
    this._loops = Promise.all([
      this._repeat(READ_INTERVAL_MS, () => this._read()),
      this._repeat(PAYMENT_INTERVAL_MS, () => this._pay())
    ]).then(() => {})
  }

  /** Waits for calls on their way. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await this._loops
    await Promise.all(this._pending)
  }

  private async _repeat (intervalMs: number, begin: () => Promise<void>): Promise<void> {
    while (!this._isStopped) {
      const work = begin()
      this._pending.add(work)
      work.finally(() => this._pending.delete(work)).catch(() => {})
      await sleep(intervalMs)
    }
  }

  private async _read (): Promise<void> {
    const path = `/status/${this._nextNumber++}`
    const { nodes } = this._deployment
    const position = this._random.integer(nodes.length)
    const answer = await call(nodes[position]?.callerUrl ?? '', 'status', 'GET', path).catch(() => ({ status: 0, body: '' }))
    this._record.addRead(path, answer.status, answer.body, position < SPARED_NODES)
  }

  /** Sends one payment at several nodes, as an impatient caller does. */
  private async _pay (): Promise<void> {
    const key = `payment-${this._nextNumber++}`
    const sendings = 1 + this._random.integer(SENDINGS_LIMIT)
    for (let sending = 0; sending < sendings; sending++) {
      const sent = this._sendPayment(key)
      if (this._random.fraction() < 0.5) await sent
      await sleep(this._random.integer(REPEAT_LIMIT_MS))
    }
  }

  private async _sendPayment (key: string): Promise<void> {
    const sent = call(this._anyNode(), 'fees', 'POST', '/payments', key)
      .then(({ outcome }) => outcome, () => 'broken')
      .then((outcome) => this._record.addPayment({ key, outcome }))
    this._pending.add(sent)
    await sent.finally(() => this._pending.delete(sent))
  }

  private _anyNode (): string {
    const { nodes } = this._deployment
    return nodes[this._random.integer(nodes.length)]?.callerUrl ?? ''
  }
}

function sleep (durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs))
}
