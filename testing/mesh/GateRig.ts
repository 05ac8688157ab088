/** Test fixture: the gate of one endpoint on real sockets, without the ports of its node. */
import type { ICancellation } from '../../src/common/Cancellation.js'
import { InvariantService } from '../../src/common/InvariantService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import type { IClockService } from '../../src/common/Services.js'
import type { EndpointId, Milliseconds, NetworkAddress, RequestId, ServiceName } from '../../src/common/Types.js'
import { CrashRegistry } from '../../src/mesh/crashes/CrashRegistry.js'
import { EndpointGate } from '../../src/mesh/endpoint/EndpointGate.js'
import { ResponseBufferBudget } from '../../src/mesh/exchange/ResponseBufferBudget.js'
import { LocalEndpoint } from '../../src/mesh/endpoint/LocalEndpoint.js'
import type { IConfigurationService } from '../../src/mesh/Services.js'
import type { AttemptOutcome, IMeshCall, Idempotency, NodeName } from '../../src/mesh/Types.js'
import { MessageFormat } from '../../platform/MessageFormat.js'
import { RecordingLog } from '../RecordingLog.js'
import { ANY_ENDPOINT } from './AnyEndpoint.js'
import { EndpointStandIn } from './EndpointStandIn.js'
import { meshCall } from './MeshCalls.js'

/** Path of the only request that takes `firstWork` to execute; the endpoint responds to other requests immediately. */
export const SLOW_PATH = '/first'

/** Options of GateRig. */
export interface IGateRigOptions {
  readonly clock: IClockService
  readonly slots: number
  /** Execution time of the request for `SLOW_PATH`. */
  readonly slowRequestDuration: Milliseconds
}

/** An endpoint that has reported the phase `serving`, and its gate. */
export class GateRig {
  public readonly endpoint = new EndpointStandIn('e')
  public readonly gate: EndpointGate
  public readonly crashes: CrashRegistry
  private readonly _local: LocalEndpoint

  constructor (private readonly _options: IGateRigOptions) {
    const { clock, slowRequestDuration: firstWork } = _options
    this.endpoint.workTimeOf = (path) => path === SLOW_PATH ? firstWork : 0
    const log = new RecordingLog()
    const metrics = new MetricsService()
    this._local = new LocalEndpoint({ authority: ANY_ENDPOINT, log })
    this.crashes = new CrashRegistry({ self: 'n' as NodeName, clock, log, metrics })
    this.gate = new EndpointGate({
      endpoint: this._local,
      configuration: { current: undefined } as unknown as IConfigurationService,
      crashes: this.crashes,
      format: new MessageFormat(),
      clock,
      log,
      metrics,
      invariants: new InvariantService({ log, metrics }),
      responseBuffers: new ResponseBufferBudget()
    })
  }

  public async start (): Promise<void> {
    const { clock, slots } = this._options
    await this.endpoint.start()
    this._local.report({
      id: 'e' as EndpointId,
      bornAt: 1,
      sequence: 1,
      phase: 'serving',
      service: 's' as ServiceName,
      address: this.endpoint.address as NetworkAddress,
      slots,
      warmUpLeft: 0 as Milliseconds
    }, clock.now())
  }

  public stop (): void {
    this.gate.dispose()
    this.crashes.dispose()
    this.endpoint.stop()
  }

  /** Paths of the requests that the endpoint has executed, in their order. */
  public get executedPaths (): readonly string[] {
    return this.endpoint.runs.map(({ path }) => path)
  }

  /** Sends a request whose path is its id. */
  public execute (id: string, cancellation: ICancellation, repeat: Idempotency = 'idempotent', parts: Partial<IMeshCall> = {}): Promise<AttemptOutcome> {
    const call = meshCall(repeat, this._options.clock.now(), { requestId: id as RequestId, callerRequestId: undefined, path: `/${id}`, ...parts })
    return this.gate.execute(call, cancellation)
  }
}

/** The reason of a refusal, or the kind of any other outcome. */
export function describeOutcome (outcome: AttemptOutcome): string {
  return outcome.kind === 'refused' ? outcome.reason : outcome.kind
}
