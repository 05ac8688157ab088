/** Links to sources: followed while the source is current, kept open while it may become current again. */
import { expect } from 'chai'
import { Emitter } from '../../common/Emitter.js'
import { InvariantService } from '../../common/InvariantService.js'
import { MetricsService } from '../../common/MetricsService.js'
import { RandomService } from '../../common/RandomService.js'
import type { FailureDomain, NetworkAddress, Region } from '../../common/Types.js'
import type { PeerMessage, ReceivedPeerMessage } from '../../generated/savoryknot/PeerMessage.js'
import type { IPeerChannel, IPeerTransport } from '../../membership/Services.js'
import type { IRowReference, RowKey, TableName } from '../../platform/Types.js'
import { ConfigurationDecoder } from '../../../platform/ConfigurationDecoder.js'
import { ManualClock, settlePromises } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { ConfigurationService } from '../configuration/ConfigurationService.js'
import type { INodeIdentity } from '../Services.js'
import type { NodeName } from '../Types.js'
import { NodeTable } from './NodeTable.js'
import { ViewSourcePolicy, type IViewSource } from './ViewSourcePolicy.js'
import { ViewSources } from './ViewSources.js'
import { ViewState } from './ViewState.js'

const CONFIGURATION_ROW: IRowReference = { table: 'op' as TableName, key: 'config' as RowKey }
const SELF: INodeIdentity = { name: 'self' as NodeName, failureDomain: 'z1' as FailureDomain, region: 'r1' as Region }
/** Shorter and longer than the time for which a followed source may be without a current view. */
const SHORT_MS = 100
const LONG_MS = 300

/** Channel to a source, as the node that follows sees it. */
class SourceChannel implements IPeerChannel {
  public readonly waitingBytes = 0
  public readonly sent: PeerMessage[] = []
  private readonly _onMessage = new Emitter<ReceivedPeerMessage>()
  private readonly _onClosed = new Emitter<void>()
  public readonly onMessage = this._onMessage.event
  public readonly onClosed = this._onClosed.event

  constructor (public readonly remoteAddress: NetworkAddress) {}

  /** Sends an update without changes from the source. */
  public update (isCurrent: boolean, nodesPosition = 0): void {
    const viewUpdate = {
      node: this.remoteAddress,
      isCurrent,
      hops: 0,
      source: '',
      tellsAge: false,
      question: 0,
      questionAgo: 0,
      confirmedAgo: 0,
      nodesPosition,
      configurationVersion: 0,
      configurationBase: 0,
      configurationPosition: 0,
      configuration: Buffer.alloc(0),
      configurationHash: Buffer.alloc(0),
      rows: []
    }
    this._onMessage.fire({ kind: 'viewUpdate', viewUpdate } as unknown as ReceivedPeerMessage)
  }

  /** The `readsStore` field of each view request sent to the source. */
  public get reportedReadings (): boolean[] {
    return this.sent.flatMap(({ viewRequest }) => viewRequest == null ? [] : [viewRequest.readsStore === true])
  }

  public send (message: PeerMessage): boolean {
    this.sent.push(message)
    return true
  }

  public dispose (): void {
    this._onClosed.fire()
  }
}

describe('ViewSources', () => {
  let clock: ManualClock
  let sources: ViewSources
  let channels: Map<string, SourceChannel>
  let events: string[]

  beforeEach(() => {
    clock = new ManualClock()
    channels = new Map()
    events = []
    const log = new RecordingLog()
    const metrics = new MetricsService()
    const invariants = new InvariantService({ log, metrics })
    const configuration = new ConfigurationService({ decoder: new ConfigurationDecoder(), log, metrics, invariants })
    const state = new ViewState({ configuration, nodes: new NodeTable({ log }), configurationRow: CONFIGURATION_ROW })
    const dial = async (address: NetworkAddress): Promise<IPeerChannel> => {
      const channel = new SourceChannel(address)
      channels.set(address, channel)
      return channel
    }
    const transport = { dial } as unknown as IPeerTransport
    sources = new ViewSources({ self: SELF, state, policy: new ViewSourcePolicy(SELF, new RandomService(1)), transport, clock, log })
    sources.onCurrent(({ name }) => events.push(`current ${name}`))
    sources.onLost((reason) => events.push(reason))
  })

  /** Opens a link and sends a first update, which states whether the source is current. */
  async function open (name: string, isPreferred: boolean, isCurrent: boolean): Promise<SourceChannel> {
    const source: IViewSource = { name: name as NodeName, address: name as NetworkAddress, isPreferred }
    const opened = sources.open(source)
    await settlePromises()
    const channel = channels.get(name) as SourceChannel
    channel.update(isCurrent)
    await opened
    await settlePromises()
    return channel
  }

  it('keeps the link to a preferred source that is not current, and follows the source once it is current', async () => {
    const channel = await open('first', true, false)
    expect([sources.current, sources.isLinked('first' as NodeName)]).to.deep.equal([undefined, true])
    channel.update(true)
    expect([sources.current?.peer, events]).to.deep.equal(['first', ['source is not current', 'current first']])
  })

  it('closes the link to a fallback source that is not current', async () => {
    await open('other', false, false)
    expect([sources.isLinked('other' as NodeName), events]).to.deep.equal([false, ['link closed: not-current']])
  })

  it('closes the link to a source that sends a position that is no exact integer', async () => {
    const channel = await open('first', true, true)
    channel.update(true, 1e308)
    await settlePromises()
    expect([sources.isLinked('first' as NodeName), events]).to.deep.equal([false, ['current first', 'link closed: unreadable']])
  })

  it('keeps following a source that is without a current view for a short time only', async () => {
    const channel = await open('first', true, true)
    channel.update(false)
    await clock.advance(SHORT_MS)
    channel.update(true)
    await clock.advance(LONG_MS)
    expect(events).to.deep.equal(['current first', 'current first'])
    channel.update(false)
    await clock.advance(LONG_MS)
    expect([sources.current, events.at(-1)]).to.deep.equal([undefined, 'source is not current'])
  })

  it('reports whether it reads the store to sources that are not current, once for each change', async () => {
    const first = await open('first', true, false)
    const second = await open('second', true, true)
    for (const readsStore of [true, true, false]) sources.reportStoreReading(readsStore)
    expect([first.reportedReadings, second.reportedReadings]).to.deep.equal([[false, true, false], [false]])
  })

  it('closes the other links on request, and all links when disposed', async () => {
    await open('first', true, false)
    await open('second', true, true)
    const current = sources.current
    if (current !== undefined) sources.releaseOthers(current.source)
    await settlePromises()
    expect(['first', 'second'].map((name) => sources.isLinked(name as NodeName))).to.deep.equal([false, true])
    sources.dispose()
    await settlePromises()
    expect(sources.isLinked('second' as NodeName)).to.equal(false)
  })
})
