/** In-process membership and broadcast for tests and benchmarks of the gate. */
import { Emitter } from '../../src/common/Emitter.js'
import type { EndpointId, FailureDomain, NetworkAddress, NodeId, Region, ServiceName, Timestamp } from '../../src/common/Types.js'
import type { IBroadcastMessage, IBroadcastService, IMembershipService } from '../../src/membership/Services.js'
import type { EndpointState, IDomainView, IEndpoint, INodeRecord, IRoutableEndpoint } from '../../src/membership/Types.js'

/** Records the states that a gate announces. */
export class FakeMembership implements IMembershipService {
  public readonly members = new Map<NodeId, INodeRecord>()
  public readonly onEndpointsChanged = new Emitter<ReadonlySet<ServiceName>>().event
  public readonly onRecordChanged = new Emitter<INodeRecord>().event
  /** States in the order of their announcement. */
  public readonly states: EndpointState[] = []
  public readonly self: INodeRecord

  private readonly _times: number[] = []

  constructor (id: string) {
    this.self = {
      id: id as NodeId,
      failureDomain: 'one' as FailureDomain,
      region: 'ulaanbaatar' as Region,
      peerAddress: '127.0.0.1:1' as NetworkAddress,
      gateAddress: '127.0.0.1:2' as NetworkAddress,
      incarnation: 1,
      sequence: 1,
      state: 'alive',
      endpoints: [],
      software: 'test'
    }
  }

  public get state (): EndpointState | undefined {
    return this.states.at(-1)
  }

  /** The last state announced until `time`. */
  public stateAt (time: number): EndpointState | undefined {
    const later = this._times.findIndex((announcedAt) => announcedAt > time)
    return later < 0 ? this.state : this.states[later - 1]
  }

  public aliveOrSuspectIn (): ReadonlyMap<NodeId, INodeRecord> {
    return this.members
  }

  public endpoints (): readonly IRoutableEndpoint[] {
    return []
  }

  public domains (): readonly IDomainView[] {
    return []
  }

  public announceEndpoint (endpoint: IEndpoint, now: Timestamp): void {
    this.setEndpointState(endpoint.id, endpoint.state, now)
  }

  public setEndpointState (_id: EndpointId, state: EndpointState, now: Timestamp): void {
    this.states.push(state)
    this._times.push(now)
  }

  public async leave (): Promise<void> {}
}

/** Delivers every message to all gates that share this instance, after a delay. */
export class FakeBroadcast implements IBroadcastService {
  private readonly _onMessage = new Emitter<IBroadcastMessage>()
  public readonly onMessage = this._onMessage.event

  constructor (private readonly _delayMs = 0) {}

  public publish (topic: string, payload: Uint8Array): void {
    setTimeout(() => { this._onMessage.fire({ topic, origin: 'any' as NodeId, payload }) }, this._delayMs)
  }
}
