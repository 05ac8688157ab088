/** An upstream with its gate, on a manual clock: slots, a bounded queue, service times, and delayed occupancy reports. */
import type { IClockService, IRandomService } from '../../src/common/Services.js'
import type { Milliseconds } from '../../src/common/Types.js'
import { HEADER, type CallOutcome, type IAnswerSink, type ICall } from '../../src/gate/Types.js'

/** Behaviour of the upstream. */
export interface IFakeUpstreamOptions {
  readonly clock: IClockService
  readonly random: IRandomService
  readonly slots: number
  readonly queue: number
  /** Mean of exponentially distributed service times. */
  readonly serviceMs: number
  /** Age of the occupancy reported in responses. */
  readonly reportAgeMs: number
  /** Further work of a request, for example calls to other services; returns the status of the response. */
  readonly work?: (call: ICall) => Promise<number>
}

interface IObservation {
  readonly at: number
  readonly used: number
}

/** Runs calls in its slots. */
export class FakeUpstream {
  /** Started requests. */
  public executions = 0
  /** Factor by which service times are multiplied. */
  public slowFactor = 1
  /** Share of requests that get a response with status 503. */
  public failingShare = 0
  private _used = 0
  private readonly _waiting: Array<() => void> = []
  private readonly _history: IObservation[] = []

  constructor (private readonly _options: IFakeUpstreamOptions) {}

  /** Runs one call; never rejects. */
  public async execute (call: ICall, sink: IAnswerSink): Promise<CallOutcome> {
    const { clock, slots, queue } = this._options
    if (this._used >= slots && this._waiting.length >= queue) return { kind: 'not-run', reason: 'overloaded', step: 'fake.gate' }
    if (this._used >= slots) await new Promise<void>((resolve) => { this._waiting.push(resolve) })
    else this._used++
    this._recordOccupancy()
    const outcome = clock.now() >= call.deadlineAt ? DEADLINE_REFUSAL : await this._serve(call, sink)
    this._release()
    return outcome
  }

  private async _serve (call: ICall, sink: IAnswerSink): Promise<CallOutcome> {
    const { clock, random, serviceMs, work } = this._options
    this.executions++
    const duration = -Math.log(1 - random.fraction()) * serviceMs * this.slowFactor
    const remaining = call.deadlineAt - clock.now()
    await clock.sleep(Math.min(duration, remaining) as Milliseconds)
    if (duration >= remaining) return { kind: 'unknown', reason: 'deadline', step: 'fake.gate' }
    const status = random.fraction() < this.failingShare ? 503 : await work?.(call) ?? 200
    if (clock.now() >= call.deadlineAt) return { kind: 'unknown', reason: 'deadline', step: 'fake.gate' }
    sink.begin(status, { [HEADER.occupancy]: `${this._reported()}/${this._options.slots}` })
    sink.end()
    return { kind: 'answered', status }
  }

  private _release (): void {
    const next = this._waiting.shift()
    if (next === undefined) this._used--
    else next()
    this._recordOccupancy()
  }

  private _recordOccupancy (): void {
    if (this._options.reportAgeMs === 0) return
    this._history.push({ at: this._options.clock.now(), used: this._used + this._waiting.length })
  }

  /** Returns the occupancy at the time to which a report refers. */
  private _reported (): number {
    const { reportAgeMs, clock } = this._options
    if (reportAgeMs === 0) return this._used + this._waiting.length
    const until = clock.now() - reportAgeMs
    while (this._history.length > 1 && (this._history[1] as IObservation).at <= until) this._history.shift()
    const [oldest] = this._history
    return oldest === undefined || oldest.at > until ? 0 : oldest.used
  }
}

const DEADLINE_REFUSAL: CallOutcome = Object.freeze({ kind: 'not-run', reason: 'deadline', step: 'fake.gate' })
