/** Simulates several claim services on one table. The test chooses the order in which table operations take effect, and their faults. */
import { MetricsService } from '../../src/common/MetricsService.js'
import type { NodeId } from '../../src/common/Types.js'
import { ClaimService } from '../../src/gate/ClaimService.js'
import { GateMetrics } from '../../src/gate/GateMetrics.js'
import type { CallOutcome, IAnswerSink, ICall } from '../../src/gate/Types.js'
import { EmbeddedObjectStore } from '../../src/platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../../src/platform/EmbeddedTableService.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../src/platform/PlatformErrors.js'
import type { ITableService } from '../../src/platform/Services.js'
import { ManualClock, settlePromises } from '../ManualClock.js'
import { RecordingLog } from '../RecordingLog.js'
import { createPayment } from './Payment.js'

/**
 * Fault of one table operation. `down`: it is rejected as unavailable; `lost`: it takes effect but its outcome is unknown to the
 * sender; `dropped`: it has no effect and its outcome is unknown; `late`: its outcome is unknown and it takes effect later.
 */
export type DeliveryFault = 'none' | 'down' | 'lost' | 'dropped' | 'late'

/** Result of running a request. */
export type RunResult = 'answered' | 'unknown' | 'not-run'

/** One step of a simulation; indexes are taken modulo the number of existing items. */
export type SimulationStep =
  | { readonly kind: 'request', readonly gate: number, readonly key: number, readonly body: number }
  | { readonly kind: 'deliver', readonly position: number, readonly fault: DeliveryFault }
  | { readonly kind: 'finish', readonly position: number, readonly end: RunResult }
  | { readonly kind: 'advance', readonly duration: number }
  | { readonly kind: 'kill', readonly gate: number }

interface IOperation {
  readonly gate: number
  deliver (fault: DeliveryFault): Promise<void>
}

interface IRun {
  readonly gate: number
  finish (end: RunResult): void
}

/** A request and its outcome. */
export interface ISimulatedRequest {
  readonly key: string
  readonly body: string
  outcome: CallOutcome | undefined
  runs: number
  text: string
}

const DEADLINE_MS = 3_000
const GATES = 3
const KEYS = 2

/** Applies sequences of steps to several claim services and records all executions. */
export class ClaimSimulation {
  public readonly clock = new ManualClock()
  public readonly requests: ISimulatedRequest[] = []
  /** Executions of each key that reached the upstream. */
  public readonly executions = new Map<string, number>()
  public hasKilled = false
  private readonly _table = new EmbeddedTableService()
  private readonly _operations: IOperation[] = []
  private readonly _runs: IRun[] = []
  private readonly _killedGates = new Set<number>()
  private readonly _gates = Array.from({ length: GATES }, (_, gate) => this._createGate(gate))

  /** Applies one step. */
  public async apply (step: SimulationStep): Promise<void> {
    if (step.kind === 'request') this._request(step.gate % GATES, step.key % KEYS, step.body)
    if (step.kind === 'deliver') await removeAt(this._operations, step.position)?.deliver(step.fault)
    if (step.kind === 'finish') removeAt(this._runs, step.position)?.finish(step.end)
    if (step.kind === 'advance') await this.clock.advance(step.duration)
    if (step.kind === 'kill') this._kill(step.gate % GATES)
    await settlePromises()
  }

  /** Completes all pending operations and runs without further faults. */
  public async finish (): Promise<void> {
    for (let round = 0; round < 60; round++) {
      while (this._operations.length > 0) await this.apply({ kind: 'deliver', position: 0, fault: 'none' })
      while (this._runs.length > 0) await this.apply({ kind: 'finish', position: 0, end: 'answered' })
      await this.clock.advance(1_000)
    }
  }

  private _kill (gate: number): void {
    this.hasKilled = true
    this._killedGates.add(gate)
    this._gates[gate]?.dispose()
  }

  private _request (gate: number, keyNumber: number, bodyNumber: number): void {
    if (this._killedGates.has(gate)) return
    const key = `key-${keyNumber}`
    const request: ISimulatedRequest = { key, body: `body-${bodyNumber}`, outcome: undefined, runs: 0, text: '' }
    this.requests.push(request)
    const sink = createSink((text) => { request.text += text })
    const call = createPayment({
      key, body: request.body, requestId: `request-${this.requests.length}`, deadlineAt: this.clock.now() + DEADLINE_MS
    })
    const service = this._gates[gate] as ClaimService
    service.execute(call, sink, (_content, recorder) => this._run(gate, request, call, service, recorder)).then((outcome) => {
      if (!this._killedGates.has(gate)) request.outcome = outcome
    }, () => { throw new Error('execute rejected') })
  }

  private _run (gate: number, request: ISimulatedRequest, call: ICall, service: ClaimService, sink: IAnswerSink): Promise<CallOutcome> {
    return new Promise((resolve) => {
      const finish = (end: RunResult): void => {
        if (this._killedGates.has(gate)) return
        if (end === 'not-run' || !service.consumeStartPermit(call)) {
          resolve({ kind: 'not-run', reason: 'overloaded', step: 'test' })
          return
        }
        request.runs++
        this.executions.set(request.key, (this.executions.get(request.key) ?? 0) + 1)
        if (end === 'unknown') {
          resolve({ kind: 'unknown', reason: 'lost', step: 'test' })
          return
        }
        sink.begin(200, { 'content-type': 'text/plain' })
        sink.write(Buffer.from(`response to ${request.body}`))
        sink.end()
        resolve({ kind: 'answered', status: 200 })
      }
      this._runs.push({ gate, finish })
    })
  }

  private _createGate (gate: number): ClaimService {
    const log = new RecordingLog()
    return new ClaimService({
      clock: this.clock,
      log,
      metrics: new GateMetrics(new MetricsService()),
      table: this._createControlledTable(gate),
      objects: new EmbeddedObjectStore(),
      node: `node-${gate}` as NodeId
    })
  }

  /** A table whose operations are held back until a `deliver` step. */
  private _createControlledTable (gate: number): ITableService {
    const enqueue = <TResult>(run: () => Promise<TResult>): Promise<TResult> => new Promise((resolve, reject) => {
      const deliver = async (fault: DeliveryFault): Promise<void> => {
        if (fault === 'down') reject(new PlatformUnavailableError('down', { step: 'test' }))
        else if (fault === 'none') resolve(await run())
        else {
          reject(new OutcomeUnknownError('lost', { step: 'test' }))
          if (fault === 'lost') await run()
          if (fault === 'late') this._operations.push({ gate, deliver: async () => { await run() } })
        }
      }
      this._operations.push({ gate, deliver })
    })
    return {
      read: (reference) => enqueue(() => this._table.read(reference)),
      scan: (scan) => this._table.scan(scan),
      transact: (transaction) => enqueue(() => this._table.transact(transaction))
    }
  }
}

function removeAt<TItem> (items: TItem[], position: number): TItem | undefined {
  return items.length === 0 ? undefined : items.splice(position % items.length, 1)[0]
}

function createSink (onText: (text: string) => void): IAnswerSink {
  let hasBegun = false
  return {
    get hasBegun () { return hasBegun },
    onDrained: () => ({ dispose: () => {} }),
    begin: () => { hasBegun = true },
    write: (chunk) => {
      onText(Buffer.from(chunk).toString())
      return true
    },
    end: () => {},
    abort: () => {}
  }
}
