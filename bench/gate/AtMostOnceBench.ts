/** Payments under kills, store delays, lost responses and repeated requests; executions are counted at the upstreams. */
import { ClockService } from '../../src/common/ClockService.js'
import { RandomService } from '../../src/common/RandomService.js'
import type { Milliseconds } from '../../src/common/Types.js'
import type { CallOutcome } from '../../src/gate/Types.js'
import { createDiscardingSink, pause } from '../../testing/gate/GateFleet.js'
import { GateRig } from '../../testing/gate/GateRig.js'
import { createPayment } from '../../testing/gate/Payment.js'
import { FaultyPlatform } from '../../testing/platform/FaultyPlatform.js'
import type { PlatformFaults } from '../../testing/platform/PlatformFaults.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'

const GATES = 4
const PAYMENTS = 20_000
const QUICK_PAYMENTS = 3_000
const CALLERS = 96
const MAXIMUM_SENDINGS = 8
const RESEND_MS = 40
const DEADLINE_MS = 1_200
/** Shares of payments that are sent twice concurrently or again after their response, and share of requests whose response is cut off. */
const DUPLICATE_SHARE = 0.05
const RESEND_SHARE = 0.1
const CUT_SHARE = 0.02
/** Time between two faults: the kill of a gate, a store delay of one gate, or a store outage for all gates. */
const FAULT_INTERVAL_MS = 700
const STORE_DELAY_MS = 1_500
const OUTAGE_MS = 250
const STORE_FAULTS = Object.freeze({
  delay: 2 as Milliseconds, lostAnswers: 0.04, lostRequests: 0.02, lateWrites: 0.02, lateBy: 150 as Milliseconds
})

/** A gate that can be killed. */
interface IMember {
  readonly rig: GateRig
  readonly faults: PlatformFaults
  /** Resolves when the gate is killed, which breaks the connections of its callers. */
  readonly killed: Promise<CallOutcome>
  readonly kill: () => void
}

/** Counts of what the callers observed. */
class Tally {
  public sendings = 0
  public answered = 0
  public unresolved = 0
  public kills = 0
  /** Ids of requests whose outcome was not-run. */
  public readonly notRun: string[] = []
}

/** Runs gates on one platform, with concurrent callers and random faults determined by a seed. */
class PaymentRun {
  public readonly tally = new Tally()
  private readonly _random: RandomService
  private readonly _platform: FaultyPlatform
  private readonly _members: IMember[] = []
  private readonly _allMembers: IMember[] = []
  private _nextPayment = 0
  private _isFinished = false

  constructor (private readonly _options: IBenchOptions, private readonly _hasClaims: boolean) {
    this._random = new RandomService(_options.seed)
    this._platform = new FaultyPlatform({ clock: new ClockService(), random: new RandomService(_options.seed + 1) })
  }

  public get payments (): number {
    return this._options.quick ? QUICK_PAYMENTS : PAYMENTS
  }

  public async execute (): Promise<void> {
    for (let number = 0; number < GATES; number++) this._members.push(await this._createMember())
    const faults = this._injectFaults()
    await Promise.all(Array.from({ length: CALLERS }, () => this._pay()))
    this._isFinished = true
    await faults
  }

  /** Number of executions by key, over all upstreams. */
  public executions (): Map<string, number> {
    const sums = new Map<string, number>()
    for (const { rig } of this._allMembers) {
      for (const [key, count] of rig.upstream.executions) sums.set(key, (sums.get(key) ?? 0) + count)
    }
    return sums
  }

  /** Number of requests with the outcome not-run that were executed by an upstream nevertheless. */
  public executedAfterNotRun (): number {
    return this.tally.notRun.filter((id) => this._allMembers.some(({ rig }) => rig.upstream.executedRequests.has(id))).length
  }

  public get breaches (): number {
    return this._allMembers.reduce((sum, { rig }) => sum + rig.invariants.breaches, 0)
  }

  /** Sum of a counter over all gates. */
  public async count (name: string): Promise<number> {
    let sum = 0
    for (const { rig } of this._allMembers) {
      const metric = await rig.metrics.registry.getSingleMetric(name)?.get()
      for (const { value } of metric?.values ?? []) sum += value
    }
    return sum
  }

  public async stop (): Promise<void> {
    await Promise.all(this._allMembers.map(({ rig }) => rig.stop()))
  }

  private async _createMember (): Promise<IMember> {
    const { faults, table, objects } = this._platform.connect()
    faults.set(STORE_FAULTS)
    const rig = await new GateRig({
      name: `gate-${this._allMembers.length}`,
      table,
      objects,
      upstream: { slots: 50 },
      settings: { claims: { timeout: 500 as Milliseconds } },
      document: { service: 'fees', pool: { slots: 30, queue: 60 }, deadlineMs: DEADLINE_MS }
    }).start()
    let kill = (): void => {}
    const killed = new Promise<CallOutcome>((resolve) => {
      kill = () => { resolve({ kind: 'unknown', reason: 'gate killed', step: 'bench' }) }
    })
    const member = { rig, faults, killed, kill }
    this._allMembers.push(member)
    return member
  }

  /** One caller: sends payments until all of them are done. */
  private async _pay (): Promise<void> {
    while (this._nextPayment < this.payments) {
      const number = this._nextPayment++
      const isDuplicated = this._random.fraction() < DUPLICATE_SHARE
      const isSentAgain = this._random.fraction() < RESEND_SHARE
      const sendings = [this._sendUntilAnswered(number), ...(isDuplicated ? [this._sendUntilAnswered(number)] : [])]
      const isAnswered = (await Promise.all(sendings)).some((answered) => answered)
      if (isAnswered) this.tally.answered++
      else this.tally.unresolved++
      if (isSentAgain) await this._send(number, 'again')
    }
  }

  /** Sends a payment repeatedly until it is answered, or `MAXIMUM_SENDINGS` times. */
  private async _sendUntilAnswered (number: number): Promise<boolean> {
    for (let sending = 0; sending < MAXIMUM_SENDINGS; sending++) {
      const outcome = await this._send(number, String(sending))
      if (outcome.kind === 'answered') return true
      await pause(RESEND_MS)
    }
    return false
  }

  private async _send (number: number, attempt: string): Promise<CallOutcome> {
    this.tally.sendings++
    const member = this._members[this._random.integer(GATES)] as IMember
    const requestId = `${number}-${attempt}-${this.tally.sendings}`
    const isCut = this._random.fraction() < CUT_SHARE
    const call = createPayment({
      service: 'fees',
      key: `key-${number}`,
      body: `fee ${number}`,
      requestId,
      deadlineAt: Date.now() + DEADLINE_MS,
      headers: isCut ? { 'x-fault': 'cut-before-head' } : {},
      ...(this._hasClaims ? {} : { route: 'file', repeat: 'non-idempotent' as const })
    })
    const outcome = await Promise.race([member.rig.gate.execute(call, createDiscardingSink()), member.killed])
    if (outcome.kind === 'not-run') this.tally.notRun.push(requestId)
    return outcome
  }

  private async _injectFaults (): Promise<void> {
    while (!this._isFinished) {
      await pause(FAULT_INTERVAL_MS)
      const draw = this._random.fraction()
      if (draw < 0.4) await this._killOne()
      else if (draw < 0.7) await this._delayStoreOfOne()
      else await this._interruptStore()
    }
  }

  /** Kills a gate and replaces it with a new one. */
  private async _killOne (): Promise<void> {
    const position = this._random.integer(GATES)
    const successor = await this._createMember()
    const victim = this._members[position] as IMember
    this._members[position] = successor
    this.tally.kills++
    victim.rig.gate.claims.dispose()
    victim.rig.gate.dispose()
    victim.kill()
  }

  /** Delays the store responses of one gate until long after its claims have timed out. */
  private async _delayStoreOfOne (): Promise<void> {
    const { faults } = this._members[this._random.integer(GATES)] as IMember
    faults.set({ delay: STORE_DELAY_MS as Milliseconds })
    await pause(STORE_DELAY_MS / 2)
    faults.set(STORE_FAULTS)
  }

  private async _interruptStore (): Promise<void> {
    for (const { faults } of this._members) faults.set({ isDown: true })
    await pause(OUTAGE_MS)
    for (const { faults } of this._members) faults.set({ isDown: false })
  }
}

/** Executes one run and reports its figures. */
async function measure (options: IBenchOptions, hasClaims: boolean, report: (figure: IFigure) => void): Promise<void> {
  const run = new PaymentRun(options, hasClaims)
  await run.execute()
  const prefix = hasClaims ? '' : 'baseline '
  const counts = [...run.executions().values()]
  const once = hasClaims ? { bound: BOUNDS.executionsPerKey, direction: 'at-most' as const } : {}
  const none = hasClaims ? { bound: BOUNDS.none, direction: 'at-most' as const } : {}
  report({ name: `${prefix}payments`, value: run.payments, unit: 'payments' })
  report({ name: `${prefix}sendings`, value: run.tally.sendings, unit: 'requests' })
  report({ name: `${prefix}gates killed`, value: run.tally.kills, unit: 'gates' })
  report({ name: `${prefix}payments answered`, value: run.tally.answered, unit: 'payments' })
  report({ name: `${prefix}payments whose callers never learned the outcome`, value: run.tally.unresolved, unit: 'payments' })
  report({ name: `${prefix}requests told not-run`, value: run.tally.notRun.length, unit: 'requests' })
  report({ name: `${prefix}payments executed`, value: counts.length, unit: 'payments' })
  report({ name: `${prefix}most executions of one payment`, value: counts.reduce((most, count) => Math.max(most, count), 0), unit: 'executions', ...once })
  report({ name: `${prefix}payments executed more than once`, value: counts.filter((count) => count > 1).length, unit: 'payments', ...none })
  report({ name: `${prefix}executions after not-run`, value: run.executedAfterNotRun(), unit: 'executions', ...none })
  report({ name: `${prefix}invariant breaches`, value: run.breaches, unit: 'breaches', ...none })
  if (hasClaims) {
    const claims = await run.count('savoryknot_gate_claims_total')
    const transactions = await run.count('savoryknot_gate_claim_transactions_total')
    report({ name: 'claims', value: claims, unit: 'claims' })
    const rows = await run.count('savoryknot_gate_claim_rows_total')
    report({ name: 'claims and answers for each store write', value: Math.round(rows / transactions * 100) / 100, unit: 'rows' })
  }
  await run.stop()
}

/** At-most-once benchmark. */
export const AT_MOST_ONCE_BENCH: IBench = {
  name: 'at-most-once',
  summary: 'Payments under kills, store delays, lost responses and repeated requests; baseline: the same callers without claims',
  run: async (options, report) => {
    await measure(options, true, report)
    if (options.baseline) await measure(options, false, report)
  }
}
