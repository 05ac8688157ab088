/** The stored row must converge to the state of the node, also if writes fail, are lost or are performed late. */
import { expect } from 'chai'
import { ClockService } from '../../common/ClockService.js'
import { MetricsService } from '../../common/MetricsService.js'
import { RandomService } from '../../common/RandomService.js'
import type { EndpointId, FailureDomain, Milliseconds, NetworkAddress, Region, ServiceName } from '../../common/Types.js'
import { PlatformHttpClient } from '../../platform/PlatformHttpClient.js'
import type { RowRevision } from '../../platform/Types.js'
import { PlatformStore } from '../../../platform/PlatformStore.js'
import { ANY_ENDPOINT } from '../../../testing/mesh/AnyEndpoint.js'
import { batch, NOW, row } from '../../../testing/mesh/NodeRows.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { StoreStandIn, type StoreMode } from '../../../testing/mesh/StoreStandIn.js'
import type { IEndpointRecord, INodeRow, NodeName } from '../Types.js'
import { decodeNodeRow } from '../view/NodeRowCodec.js'
import { NodeTable } from '../view/NodeTable.js'
import { CrashRegistry } from '../crashes/CrashRegistry.js'
import { LocalEndpoint } from './LocalEndpoint.js'
import { RegistrationService } from './RegistrationService.js'

const LIMIT = 5_000 as Milliseconds

describe('RegistrationService', () => {
  let store: StoreStandIn
  let endpoint: LocalEndpoint
  let nodes: NodeTable
  let crashes: CrashRegistry
  let registration: RegistrationService
  const clock = new ClockService()
  const log = new RecordingLog()

  beforeEach(async () => {
    store = new StoreStandIn()
    await store.start()
    startProcess()
  })

  function startProcess (): void {
    endpoint = new LocalEndpoint({ authority: ANY_ENDPOINT, log })
    nodes = new NodeTable({ log })
    crashes = new CrashRegistry({ self: 'n' as NodeName, clock, log, metrics: new MetricsService() })
    const client = new PlatformHttpClient({ clock, log, metrics: new MetricsService() }, { url: `http://${store.address}`, requestTimeout: 100 as Milliseconds })
    registration = new RegistrationService({
      self: { name: 'n' as NodeName, failureDomain: 'z' as FailureDomain, region: 'r' as Region },
      gateAddress: '10.0.0.1:1' as NetworkAddress,
      peerAddress: '10.0.0.1:2' as NetworkAddress,
      endpoint,
      nodes,
      crashes,
      table: new PlatformStore(client, log),
      clock,
      random: new RandomService(1),
      log,
      firstReportWait: 0 as Milliseconds
    })
  }

  afterEach(() => {
    registration.stop()
    crashes.dispose()
    store.stop()
  })

  function report (sequence: number, phase: 'serving' | 'draining'): void {
    endpoint.report({
      id: 'i' as EndpointId, bornAt: 1, sequence, phase, service: 's' as ServiceName, address: '10.0.0.1:3' as NetworkAddress, slots: 4, warmUpLeft: 0 as Milliseconds
    }, clock.now())
  }

  function storedPhase (): string | undefined {
    const text = store.get('nodes', 'n')
    return text === undefined ? undefined : (JSON.parse(text) as { endpoint?: { phase: string } }).endpoint?.phase
  }

  function stored (): INodeRow {
    return decodeNodeRow(store.get('nodes', 'n') ?? '', 'n' as NodeName).row
  }

  /** Stops the process and starts another one, which adopts the stored row. */
  function restart (): void {
    registration.stop()
    startProcess()
    const record = stored().endpoint
    if (record !== undefined) endpoint.restore(record, clock.now())
    registration.startWriting({ revision: String(store.version) as RowRevision, value: store.get('nodes', 'n') ?? '' })
  }

  /** Delivers the stored row to the process as a change of the node table. */
  function observe (): void {
    nodes.apply(batch([row('n', store.version, store.get('nodes', 'n'))], store.version), NOW)
  }

  it('writes the row only when it changes, not for each heartbeat', async () => {
    report(1, 'serving')
    registration.startWriting(undefined)
    await registration.waitUntilStored(LIMIT)
    report(2, 'serving')
    report(3, 'serving')
    await registration.waitUntilStored(LIMIT)
    expect(store.transactions).to.equal(1)
  })

  for (const mode of ['busy', 'many', 'reset', 'silent', 'lost'] as StoreMode[]) {
    it(`stores a drain once the store has recovered from the mode ${mode}`, async () => {
      report(1, 'serving')
      registration.startWriting(undefined)
      await registration.waitUntilStored(LIMIT)
      store.mode = mode
      report(2, 'draining')
      expect(await registration.waitUntilStored(150 as Milliseconds)).to.equal(false)
      store.mode = 'well'
      expect([await registration.waitUntilStored(LIMIT), storedPhase()]).to.deep.equal([true, 'draining'])
    })
  }

  it('keeps the stored drain if the store performs an earlier write late', async () => {
    store.mode = 'late'
    report(1, 'serving')
    registration.startWriting(undefined)
    await registration.waitUntilStored(50 as Milliseconds)
    store.mode = 'well'
    report(2, 'draining')
    await registration.waitUntilStored(LIMIT)
    store.performDelayedWrites()
    expect(storedPhase()).to.equal('draining')
  })

  it('adopts the drain that an earlier process wrote once the store performs that write late', async () => {
    report(1, 'serving')
    registration.startWriting(undefined)
    await registration.waitUntilStored(LIMIT)
    store.mode = 'late'
    report(2, 'draining')
    await registration.waitUntilStored(50 as Milliseconds)
    restart()
    store.mode = 'well'
    store.performDelayedWrites()
    observe()
    expect([endpoint.record?.phase, storedPhase()]).to.deep.equal(['draining', 'draining'])
  })

  it('does not overwrite a drain that an earlier process stored with an older state received from another node', async () => {
    report(1, 'serving')
    registration.startWriting(undefined)
    await registration.waitUntilStored(LIMIT)
    const old = { revision: String(store.version) as RowRevision, value: store.get('nodes', 'n') ?? '' }
    report(2, 'draining')
    await registration.waitUntilStored(LIMIT)
    registration.stop()
    startProcess()
    endpoint.restore({ ...stored().endpoint as IEndpointRecord, phase: 'serving' }, clock.now())
    registration.startWriting(old)
    await registration.markLeaving()
    await registration.waitUntilStored(LIMIT)
    expect(storedPhase()).to.equal('draining')
  })

  it('keeps the node in service if the store performs late the write with which an earlier process marked the node as leaving', async () => {
    report(1, 'serving')
    registration.startWriting(undefined)
    await registration.waitUntilStored(LIMIT)
    store.mode = 'late'
    await registration.markLeaving()
    await registration.waitUntilStored(50 as Milliseconds)
    restart()
    store.mode = 'well'
    store.performDelayedWrites()
    const { isLeaving } = stored()
    observe()
    await registration.waitUntilStored(LIMIT)
    expect([isLeaving, stored().isLeaving, storedPhase()]).to.deep.equal([true, false, 'serving'])
  })

  it('removes the row of a leaving node whose endpoint is draining, and marks the row as leaving if the endpoint is serving', async () => {
    report(1, 'serving')
    registration.startWriting(undefined)
    await registration.waitUntilStored(LIMIT)
    await registration.markLeaving()
    await registration.waitUntilStored(LIMIT)
    expect(JSON.parse(store.get('nodes', 'n') ?? '{}')).to.include({ isLeaving: true })
    report(2, 'draining')
    await registration.markLeaving()
    await registration.waitUntilStored(LIMIT)
    expect(store.get('nodes', 'n')).to.equal(undefined)
  })
})
