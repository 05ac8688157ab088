/** Updates that a node sends to its followers. */
import { expect } from 'chai'
import { Emitter } from '../../common/Emitter.js'
import { InvariantService } from '../../common/InvariantService.js'
import { MetricsService } from '../../common/MetricsService.js'
import type { FailureDomain, NetworkAddress, Region, Timestamp } from '../../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../generated/savoryknot/PeerMessage.js'
import type { ViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IPeerChannel } from '../../membership/Services.js'
import type { IRowReference, RowKey, TableName } from '../../platform/Types.js'
import { ConfigurationDecoder } from '../../../platform/ConfigurationDecoder.js'
import { configurationText, idleRoutes } from '../../../testing/mesh/ConfigurationText.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { RandomService } from '../../common/RandomService.js'
import { ConfigurationService } from '../configuration/ConfigurationService.js'
import type { NodeName } from '../Types.js'
import { NodeTable } from './NodeTable.js'
import { ViewServer } from './ViewServer.js'
import { ViewState } from './ViewState.js'

const SEED = 18
const ROUTES = idleRoutes(600, new RandomService(SEED))
const CONFIGURATION_ROW: IRowReference = { table: 'op' as TableName, key: 'config' as RowKey }

/** Channel of a follower, as the server sees it; records the updates. */
class FollowerChannel implements IPeerChannel {
  public readonly remoteAddress = '10.0.0.9:2' as NetworkAddress
  public readonly waitingBytes = 0
  public readonly updates: ViewUpdate[] = []
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  public readonly onMessage = this._onMessage.event
  public readonly onClosed = this._onClosed.event

  public requestView (configurationVersion: number): void {
    const viewRequest = { node: 'follower', configurationVersion, nodesPosition: 0 }
    this._onMessage.fire({ kind: 'viewRequest', viewRequest } as unknown as ReceivedPeerMessage)
  }

  public ping (number: number): void {
    this._onMessage.fire({ kind: 'ping', ping: { number } } as unknown as ReceivedPeerMessage)
  }

  public send (message: PeerMessage): boolean {
    if (message.viewUpdate != null) this.updates.push(message.viewUpdate)
    return true
  }

  public dispose (): void {
    this._onClosed.fire()
  }
}

describe('ViewServer', () => {
  function create (): { server: ViewServer, apply: (version: number) => void } {
    const log = new RecordingLog()
    const clock = new ManualClock()
    const metrics = new MetricsService()
    const invariants = new InvariantService({ log, metrics })
    const configuration = new ConfigurationService({ decoder: new ConfigurationDecoder(), log, metrics, invariants })
    const state = new ViewState({ configuration, nodes: new NodeTable({ log }), configurationRow: CONFIGURATION_ROW })
    const self = { name: 'reader' as NodeName, failureDomain: 'z1' as FailureDomain, region: 'r1' as Region }
    const server = new ViewServer({
      self,
      state,
      isCurrent: () => true,
      hops: () => 0,
      source: () => undefined,
      onOffer: () => undefined,
      confirmedAt: () => clock.now(),
      clock,
      log
    })
    const apply = (version: number): void => {
      const added = { prefix: `/added-${version}/`, service: 'idle' }
      expect(configuration.applyIfNewer(configurationText(version, [...ROUTES, added]), 'store', 0 as Timestamp)).to.equal(true)
    }
    return { server, apply }
  }

  function follow (server: ViewServer, version: number): FollowerChannel {
    const channel = new FollowerChannel()
    server.accept(channel)
    channel.requestView(version)
    return channel
  }

  it('still acknowledges the last probe of a follower that repeats its view request', () => {
    const { server, apply } = create()
    apply(1)
    const channel = follow(server, 1)
    channel.ping(3)
    channel.requestView(1)
    expect(channel.updates.at(-1)?.question).to.equal(3)
  })

  it('encodes a new configuration once for all followers', () => {
    const { server, apply } = create()
    apply(1)
    const channels = Array.from({ length: 22 }, () => follow(server, 1))
    apply(2)
    const bodies = channels.map(({ updates }) => updates.at(-1)?.configuration)
    expect(bodies[0]?.length).to.be.above(0)
    expect(new Set(bodies).size).to.equal(1)
  })

  it('sends a delta, not the complete configuration, to a follower that has an earlier version', () => {
    const { server, apply } = create()
    for (const version of [1, 2, 3, 4]) apply(version)
    const [complete, delta] = [0, 2].map((version) => follow(server, version).updates.at(-1))
    expect([complete?.configurationBase, delta?.configurationBase]).to.deep.equal([0, 2])
    expect(delta?.configuration?.length).to.be.below((complete?.configuration?.length ?? 0) / 20)
  })
})
