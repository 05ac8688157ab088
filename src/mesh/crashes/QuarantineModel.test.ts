/** Random cut-offs, restarts and lost responses must not let a request end more endpoints than permitted once three have ended. */
import { expect } from 'chai'
import { MetricsService } from '../../common/MetricsService.js'
import { RandomService } from '../../common/RandomService.js'
import { createRequestId } from '../../common/Ids.js'
import type { Milliseconds } from '../../common/Types.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { CrashId, ICrashRecord, ICrashReport, NodeName } from '../Types.js'
import { CrashRegistry } from './CrashRegistry.js'
import { RequestIdentity } from './RequestIdentity.js'

const SEEDS = 60
const INNOCENT_SEEDS = 20
const NODES = 12
const TICK_MS = 100 as Milliseconds
const RUN_MS = 240_000
/** Interval in which rows reach the store and all nodes that can read it. */
const DISTRIBUTION_MS = 600
/** Time for which a node must be undisturbed to be bound, and after the third crash. */
const CONTACT_MS = 3_000
const ENDPOINT_RESTART_MS = 2_500
const MAXIMUM_CUT_MS = 8_000
const MAXIMUM_LATER_RUNS = 3
const CRASHES = 3
/** Probability that a fault ends endpoints at a sending, and the share of the endpoints that it ends. */
const FAULT_SHARE = 0.03
const ENDED_SHARE = 0.5
/** Time within which an innocent request is served again: the same as for the news of a crash. */
const MAXIMUM_REFUSAL_MS = CONTACT_MS
/** Attempts of one request of a client. */
const ATTEMPTS = 2

/** One node of the model with its endpoint. */
interface IModelNode {
  readonly name: NodeName
  registry: CrashRegistry
  cutOffUntil: number
  /** End of the last cut-off or restart. */
  undisturbedSince: number
  endpointDownUntil: number
}

/** How often faults occur, as a probability for each node and tick. */
interface IModelFaults {
  readonly cutOff: number
  readonly restart: number
  readonly lostResponse: number
}

const NO_FAULTS: IModelFaults = { cutOff: 0, restart: 0, lostResponse: 0 }
const FAULTS: IModelFaults = { cutOff: 0.003, restart: 0.001, lostResponse: 0.1 }

/** Nodes that exchange their reports through a store, a client that repeats one request at any node, and the crashes under it. */
class QuarantineModel {
  public readonly clock = new ManualClock(0)
  /** Time of each crash, and whether the nodes involved were undisturbed. */
  public readonly crashes: Array<{ readonly at: number, readonly isBound: boolean }> = []
  protected readonly _random: RandomService
  protected readonly _nodes: IModelNode[]
  private readonly _rows = new Map<NodeName, ICrashReport | undefined>()

  constructor (seed: number, private readonly _faults: IModelFaults) {
    this._random = new RandomService(seed)
    this._nodes = Array.from({ length: NODES }, (_, number) => {
      const name = `node-${number}` as NodeName
      return { name, registry: this._createRegistry(name), cutOffUntil: 0, undisturbedSince: 0, endpointDownUntil: 0 }
    })
  }

  public async run (): Promise<void> {
    for (let at = 0; at < RUN_MS; at += TICK_MS) {
      for (const node of this._nodes) this._disturb(node)
      if (this._random.fraction() < 0.3) this._send(this._randomNode())
      await this.clock.advance(TICK_MS)
      if (at % DISTRIBUTION_MS === 0) this._distribute()
    }
    for (const { registry } of this._nodes) registry.dispose()
  }

  /** Crashes that count against the bound. */
  public get laterCrashes (): number {
    const third = this.crashes[CRASHES - 1]
    return third === undefined ? 0 : this.crashes.filter(({ at, isBound }) => isBound && at > third.at + CONTACT_MS).length
  }

  private _createRegistry (self: NodeName): CrashRegistry {
    return new CrashRegistry({ self, clock: this.clock, log: new RecordingLog(), metrics: new MetricsService() })
  }

  private _disturb (node: IModelNode): void {
    const now = this.clock.now()
    if (this._random.fraction() < this._faults.cutOff) {
      node.cutOffUntil = now + this._random.integer(MAXIMUM_CUT_MS)
      node.undisturbedSince = node.cutOffUntil
    }
    if (this._random.fraction() >= this._faults.restart || this._isCutOff(node)) return
    node.registry.dispose()
    node.registry = this._createRegistry(node.name)
    const row = this._rows.get(node.name)
    if (row !== undefined) node.registry.restore(row, now)
    this._read(node)
    node.undisturbedSince = now
  }

  protected _send (caller: IModelNode): void {
    const identity = new RequestIdentity({ method: 'PUT', path: '/', fields: [], body: undefined })
    for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
      const now = this.clock.now()
      if (caller.registry.refusalTime(identity, now) !== undefined) return
      const isTrial = caller.registry.standingOf(identity).kind === 'quarantined'
      const gate = isTrial ? this._nodes[0] as IModelNode : this._randomNode()
      if (now < gate.endpointDownUntil || gate.registry.refusalTime(identity, now) !== undefined) continue
      const isTrialAtGate = gate.registry.standingOf(identity).kind === 'quarantined'
      if (isTrialAtGate) gate.registry.beginTrial(identity, now)
      this._crash(caller, gate, identity, isTrialAtGate)
    }
  }

  protected _crash (caller: IModelNode, gate: IModelNode, { fingerprint }: RequestIdentity, isTrial = false): void {
    const now = this.clock.now()
    const kind = isTrial ? 'trial' : this._random.fraction() < 0.5 ? 'process-alone' : 'process'
    const crash: ICrashRecord = { id: createRequestId() as string as CrashId, fingerprint, kind }
    gate.endpointDownUntil = now + ENDPOINT_RESTART_MS
    gate.registry.recordOwn(crash, now)
    if (this._random.fraction() >= this._faults.lostResponse) caller.registry.recordReceived(crash, gate.name, now)
    this.crashes.push({ at: now, isBound: this._isBound(caller, now) && this._isBound(gate, now) })
  }

  private _distribute (): void {
    const connected = this._nodes.filter((node) => !this._isCutOff(node))
    for (const { name, registry } of connected) this._rows.set(name, registry.report)
    for (const node of connected) this._read(node)
  }

  private _read ({ registry }: IModelNode): void {
    for (const [name, row] of this._rows) registry.applyReport(name, row, this.clock.now())
  }

  private _isCutOff ({ cutOffUntil }: IModelNode): boolean {
    return this.clock.now() < cutOffUntil
  }

  private _isBound (node: IModelNode, now: number): boolean {
    return now - node.undisturbedSince >= CONTACT_MS
  }

  protected _randomNode (): IModelNode {
    return this._nodes[this._random.integer(NODES)] as IModelNode
  }
}

/** Nodes that serve an innocent request all the time, while faults end many endpoints at once. */
class InnocentRequestModel extends QuarantineModel {
  /** Longest time in which a node refused every such request, in milliseconds. */
  public longestRefusal = 0
  private readonly _refusedSince = new Map<NodeName, number>()
  private readonly _identity = new RequestIdentity({ method: 'GET', path: '/popular', fields: [], body: undefined })

  protected override _send (): void {
    if (this._random.fraction() < FAULT_SHARE) this._endEndpoints()
    for (const caller of this._nodes) this._sendInnocent(caller)
  }

  private _endEndpoints (): void {
    for (const gate of this._nodes) {
      const caller = this._randomNode()
      if (this._random.fraction() < ENDED_SHARE && !this._isRefused(caller, gate)) this._crash(caller, gate, this._identity)
    }
  }

  private _isRefused (...nodes: readonly IModelNode[]): boolean {
    return nodes.some(({ registry }) => registry.refusalTime(this._identity, this.clock.now()) !== undefined)
  }

  private _sendInnocent (caller: IModelNode): void {
    const now = this.clock.now()
    const gate = this._randomNode()
    if (this._isRefused(caller, gate)) return this._recordRefusal(caller, now)
    this._refusedSince.delete(caller.name)
    if (now < gate.endpointDownUntil) return
    for (const { registry } of [gate, caller]) registry.recordSuccess(this._identity, now)
  }

  private _recordRefusal ({ name }: IModelNode, now: number): void {
    const since = this._refusedSince.get(name) ?? now
    this._refusedSince.set(name, since)
    this.longestRefusal = Math.max(this.longestRefusal, now - since)
  }
}

describe('A request that ends every endpoint, sent again and again', () => {
  for (const [description, faults] of Object.entries({ 'without faults': NO_FAULTS, 'with cut-offs, restarts and lost responses': FAULTS })) {
    it(`ends at most three further endpoints in four minutes ${description}`, async () => {
      const laterCrashes: number[] = []
      for (let seed = 1; seed <= SEEDS; seed++) {
        const model = new QuarantineModel(seed, faults)
        await model.run()
        laterCrashes.push(model.laterCrashes)
      }
      expect(laterCrashes.map((crashes, index) => ({ seed: index + 1, crashes })).filter(({ crashes }) => crashes > MAXIMUM_LATER_RUNS))
        .to.deep.equal([])
    }).timeout(60_000)
  }
})

describe('An innocent request that is served everywhere', () => {
  it('is served again within three seconds by every node after half of the endpoints have ended under it, again and again', async () => {
    const longestRefusals: number[] = []
    for (let seed = 1; seed <= INNOCENT_SEEDS; seed++) {
      const model = new InnocentRequestModel(seed, NO_FAULTS)
      await model.run()
      longestRefusals.push(model.longestRefusal)
    }
    expect(Math.max(...longestRefusals)).to.be.at.most(MAXIMUM_REFUSAL_MS)
  }).timeout(60_000)
})
