/** Payments under kills, pauses, lost answers and repeats; executions are counted at the upstreams. */
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
const SENDINGS_LIMIT = 8
const RESEND_MS = 40
const DEADLINE_MS = 1_200
/** Share of payments that are sent to two gates at once, that are sent again after their answer, and whose answer is cut. */
const TWIN_SHARE = 0.05
const REPEAT_SHARE = 0.1
const CUT_SHARE = 0.02
/** Time between two faults of the world, each a kill, a pause of one gate's store, or an outage of the store for all. */
const FAULT_INTERVAL_MS = 700
const PAUSE_MS = 1_500
const OUTAGE_MS = 250
const STORE_FAULTS = Object.freeze({
  delay: 2 as Milliseconds, lostAnswers: 0.04, lostRequests: 0.02, lateWrites: 0.02, lateBy: 150 as Milliseconds
})

/** One gate that may be killed. */
interface IMember {
  readonly rig: GateRig
  readonly faults: PlatformFaults
  /** Resolves when the gate is killed: its callers' connections break. */
  readonly death: Promise<CallOutcome>
  readonly kill: () => void
}

/** What the callers saw. */
class Tally {
  public sendings = 0
  public answered = 0
  public undecided = 0
  public kills = 0
  /** Ids of requests that were told not-run. */
  public readonly notRun: string[] = []
}

/** Gates over one platform, callers, and faults from a seed. */
class Run {
  public readonly tally = new Tally()
  private readonly _random: RandomService
  private readonly _platform: FaultyPlatform
  private readonly _members: IMember[] = []
  private readonly _all: IMember[] = []
  private _nextPayment = 0
  private _isOver = false

  constructor (private readonly _options: IBenchOptions, private readonly _isClaimed: boolean) {
    this._random = new RandomService(_options.seed)
    this._platform = new FaultyPlatform({ clock: new ClockService(), random: new RandomService(_options.seed + 1) })
  }

  public get payments (): number {
    return this._options.quick ? QUICK_PAYMENTS : PAYMENTS
  }

  public async play (): Promise<void> {
    for (let number = 0; number < GATES; number++) this._members.push(await this._createMember())
    const faults = this._breakThings()
    await Promise.all(Array.from({ length: CALLERS }, () => this._pay()))
    this._isOver = true
    await faults
  }

  /** Executions by key, over all upstreams. */
  public executions (): Map<string, number> {
    const sums = new Map<string, number>()
    for (const { rig } of this._all) {
      for (const [key, count] of rig.upstream.executions) sums.set(key, (sums.get(key) ?? 0) + count)
    }
    return sums
  }

  /** Requests that were told not-run and reached an upstream all the same. */
  public executedAfterNotRun (): number {
    return this.tally.notRun.filter((id) => this._all.some(({ rig }) => rig.upstream.executedRequests.has(id))).length
  }

  public get breaches (): number {
    return this._all.reduce((sum, { rig }) => sum + rig.invariants.breaches, 0)
  }

  /** Sum of a counter over all gates. */
  public async count (name: string): Promise<number> {
    let sum = 0
    for (const { rig } of this._all) {
      const metric = await rig.metrics.registry.getSingleMetric(name)?.get()
      for (const { value } of metric?.values ?? []) sum += value
    }
    return sum
  }

  public async stop (): Promise<void> {
    await Promise.all(this._all.map(({ rig }) => rig.stop()))
  }

  private async _createMember (): Promise<IMember> {
    const { faults, table, objects } = this._platform.connect()
    faults.set(STORE_FAULTS)
    const rig = await new GateRig({
      name: `gate-${this._all.length}`,
      table,
      objects,
      upstream: { slots: 50 },
      settings: { claims: { timeout: 500 as Milliseconds } },
      document: { service: 'fees', pool: { slots: 30, queue: 60 }, deadlineMs: DEADLINE_MS }
    }).start()
    let kill = (): void => {}
    const death = new Promise<CallOutcome>((resolve) => {
      kill = () => { resolve({ kind: 'unknown', reason: 'gate killed', step: 'bench' }) }
    })
    const member = { rig, faults, death, kill }
    this._all.push(member)
    return member
  }

  /** One caller: pays until there is nothing left to pay. */
  private async _pay (): Promise<void> {
    while (this._nextPayment < this.payments) {
      const number = this._nextPayment++
      const isTwin = this._random.fraction() < TWIN_SHARE
      const isRepeated = this._random.fraction() < REPEAT_SHARE
      const sendings = [this._payOne(number), ...(isTwin ? [this._payOne(number)] : [])]
      const isAnswered = (await Promise.all(sendings)).some((answered) => answered)
      if (isAnswered) this.tally.answered++
      else this.tally.undecided++
      if (isRepeated) await this._send(number, 'again')
    }
  }

  /** Sends a payment until it is answered, as a caller does that wants to be sure. */
  private async _payOne (number: number): Promise<boolean> {
    for (let sending = 0; sending < SENDINGS_LIMIT; sending++) {
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
      ...(this._isClaimed ? {} : { route: 'file', repeat: 'non-idempotent' as const })
    })
    const outcome = await Promise.race([member.rig.gate.execute(call, createDiscardingSink()), member.death])
    if (outcome.kind === 'not-run') this.tally.notRun.push(requestId)
    return outcome
  }

  private async _breakThings (): Promise<void> {
    while (!this._isOver) {
      await pause(FAULT_INTERVAL_MS)
      const draw = this._random.fraction()
      if (draw < 0.4) await this._killOne()
      else if (draw < 0.7) await this._pauseOne()
      else await this._stopStore()
    }
  }

  /** A gate dies and another takes its place. */
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

  /** One gate hears from its store only long after its claims have timed out. */
  private async _pauseOne (): Promise<void> {
    const { faults } = this._members[this._random.integer(GATES)] as IMember
    faults.set({ delay: PAUSE_MS as Milliseconds })
    await pause(PAUSE_MS / 2)
    faults.set(STORE_FAULTS)
  }

  private async _stopStore (): Promise<void> {
    for (const { faults } of this._members) faults.set({ isDown: true })
    await pause(OUTAGE_MS)
    for (const { faults } of this._members) faults.set({ isDown: false })
  }
}

/** Plays one run and reports it. */
async function measure (options: IBenchOptions, isClaimed: boolean, report: (figure: IFigure) => void): Promise<void> {
  const run = new Run(options, isClaimed)
  await run.play()
  const prefix = isClaimed ? '' : 'baseline '
  const counts = [...run.executions().values()]
  const once = isClaimed ? { bound: BOUNDS.executionsPerKey, direction: 'at-most' as const } : {}
  const none = isClaimed ? { bound: BOUNDS.none, direction: 'at-most' as const } : {}
  report({ name: `${prefix}payments`, value: run.payments, unit: 'payments' })
  report({ name: `${prefix}sendings`, value: run.tally.sendings, unit: 'requests' })
  report({ name: `${prefix}gates killed`, value: run.tally.kills, unit: 'gates' })
  report({ name: `${prefix}payments answered`, value: run.tally.answered, unit: 'payments' })
  report({ name: `${prefix}payments whose callers never learned the outcome`, value: run.tally.undecided, unit: 'payments' })
  report({ name: `${prefix}requests told not-run`, value: run.tally.notRun.length, unit: 'requests' })
  report({ name: `${prefix}payments executed`, value: counts.length, unit: 'payments' })
  report({ name: `${prefix}most executions of one payment`, value: counts.reduce((most, count) => Math.max(most, count), 0), unit: 'executions', ...once })
  report({ name: `${prefix}payments executed more than once`, value: counts.filter((count) => count > 1).length, unit: 'payments', ...none })
  report({ name: `${prefix}executions after not-run`, value: run.executedAfterNotRun(), unit: 'executions', ...none })
  report({ name: `${prefix}invariant breaches`, value: run.breaches, unit: 'breaches', ...none })
  if (isClaimed) {
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
  summary: 'Payments under kills, pauses, lost answers and repeats; baseline: the same callers without claims',
  run: async (options, report) => {
    await measure(options, true, report)
    if (options.baseline) await measure(options, false, report)
  }
}
