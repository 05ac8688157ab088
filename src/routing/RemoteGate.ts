/** Sends calls to the gate of another node. */
import type { Pool } from 'undici'
import type { IClockService, IInvariantService, ILogService } from '../common/Services.js'
import type { NodeId } from '../common/Types.js'
import type { CallOutcome, IAnswerSink, ICall, ICallTarget } from '../gate/Types.js'
import { RemoteExchange } from './RemoteExchange.js'
import type { ISettleClient } from './Types.js'

/** Dependencies of `RemoteGate`. */
export interface IRemoteGateOptions {
  /** Connections to the gate; one exchange at a time on each. */
  readonly pool: Pool
  readonly node: NodeId
  /** Address of the gate, used in logs and outcomes. */
  readonly peer: string
  readonly settleClient: ISettleClient
  readonly clock: IClockService
  readonly log: ILogService
  readonly invariants: IInvariantService
}

/** Runs calls over HTTP at the gate of another node. */
export class RemoteGate implements ICallTarget {
  constructor (private readonly _options: IRemoteGateOptions) {}

  public execute (call: ICall, sink: IAnswerSink): Promise<CallOutcome> {
    return new Promise((resolve) => {
      new RemoteExchange(this._options, call, sink, resolve).start()
    })
  }
}
