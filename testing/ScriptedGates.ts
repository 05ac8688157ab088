/** Gates with scripted responses. */
import type { IncomingHttpHeaders } from 'node:http'
import type { IClockService } from '../src/common/Services.js'
import type { NetworkAddress } from '../src/common/Types.js'
import type { IGateService } from '../src/gate/Services.js'
import type { CallOutcome, IAnswerSink, ICall, ICallTarget } from '../src/gate/Types.js'
import type { IRoutableEndpoint } from '../src/membership/Types.js'
import type { IRemoteGates } from '../src/routing/Types.js'

/** Reaction to one attempt: a complete response with a status, or an outcome without a response. */
export interface GateStep {
  readonly answer?: number
  readonly text?: string
  readonly headers?: IncomingHttpHeaders
  /** Responds with the request body. */
  readonly echo?: boolean
  readonly readsBody?: boolean
  readonly outcome?: CallOutcome
}

/** An attempt as received by a gate. */
export interface IScriptedCall {
  /** `local`, or the node of a remote gate. */
  readonly at: string
  readonly call: ICall
  readonly remaining: number
}

const SLOTS = 9

/** Applies the steps of the script to attempts in order of arrival at any gate; after the last step responds with 200. */
export class ScriptedGates implements IRemoteGates {
  public readonly calls: IScriptedCall[] = []
  public readonly warmed: string[] = []
  /** Occupied slots of the local upstream. */
  public used = 0
  /** Replaces the script if set. */
  public behaviour: ((at: string) => GateStep) | undefined

  constructor (private readonly _script: readonly GateStep[], private readonly _clock: IClockService) {}

  public readonly localGate: IGateService = {
    execute: (call, sink) => this._execute('local', call, sink),
    occupancy: () => ({ used: this.used, queued: 0, slots: SLOTS }),
    hasFreeSlot: () => this.used < SLOTS,
    settle: () => 'started',
    drain: async () => undefined
  }

  public target (endpoint: IRoutableEndpoint): ICallTarget {
    return { execute: (call, sink) => this._execute(endpoint.node, call, sink) }
  }

  public warm (endpoint: IRoutableEndpoint): void {
    this.warmed.push(endpoint.node)
  }

  public retain (_addresses: ReadonlySet<NetworkAddress>): void {}

  public async close (): Promise<void> {}

  public dispose (): void {}

  private async _execute (at: string, call: ICall, sink: IAnswerSink): Promise<CallOutcome> {
    const step = this.behaviour?.(at) ?? this._script[this.calls.length] ?? { answer: 200 }
    this.calls.push({ at, call, remaining: call.deadlineAt - this._clock.now() })
    const body = step.echo === true || step.readsBody === true ? await readAll(call) : ''
    if (step.outcome !== undefined) return step.outcome
    const status = step.answer ?? 200
    sink.begin(status, { ...step.headers })
    sink.write(Buffer.from(step.text ?? (step.echo === true ? body : `from ${this.calls.length}`)))
    sink.end()
    return { kind: 'answered', status }
  }
}

async function readAll (call: ICall): Promise<string> {
  if (call.bodyContent !== undefined) return call.bodyContent.toString()
  const chunks: Buffer[] = []
  for await (const chunk of call.body ?? []) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}
