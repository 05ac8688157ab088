/** The end of the endpoint's process must be told apart from resets of its connections. */
import { expect } from 'chai'
import { ClockService } from '../../common/ClockService.js'
import type { EndpointId, Milliseconds, NetworkAddress } from '../../common/Types.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { EndpointStandIn } from '../../../testing/mesh/EndpointStandIn.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { RequestIdentity } from '../crashes/RequestIdentity.js'
import { EndpointCrashMonitor } from './EndpointCrashMonitor.js'

describe('EndpointCrashMonitor', () => {
  const clock = new ClockService()
  let endpoint: EndpointStandIn
  let connections: UpstreamConnections
  let open: UpstreamConnection[]
  let monitor: EndpointCrashMonitor
  let log: RecordingLog

  beforeEach(async () => {
    endpoint = new EndpointStandIn('e')
    await endpoint.start()
    connections = new UpstreamConnections({
      address: endpoint.address as NetworkAddress,
      clock,
      onUnreachable: () => undefined,
      openInterval: 1 as Milliseconds,
      openTimeout: 500 as Milliseconds
    })
    connections.resize(0, 4)
    open = [await connections.acquire(), await connections.acquire()]
    log = new RecordingLog()
    monitor = new EndpointCrashMonitor({ connections, endpoint: 'e' as EndpointId, clock, log })
  })

  afterEach(() => {
    connections.dispose()
    endpoint.stop()
  })

  /** Kinds of the records of requests whose exchanges broke at the same time. */
  async function kindsOf (...paths: string[]): Promise<Array<string | undefined>> {
    const identities = paths.map((path) => new RequestIdentity({ method: 'GET', path, fields: [], body: undefined }))
    const records = await Promise.all(identities.map((identity) => monitor.recordBrokenExchange(identity)))
    return records.map((record) => record?.kind)
  }

  it('records the end of the process for all requests that it was executing', async () => {
    endpoint.stop()
    expect(await kindsOf('/one', '/two')).to.deep.equal(['process', 'process'])
    expect(log.events.map(({ name, fields }) => [name, fields.kind, String(fields.fingerprints).split(' ').length]))
      .to.deep.equal([['endpoint-connections-lost', 'process', 2]])
  })

  it('records the end of the process for a request that it was executing alone', async () => {
    endpoint.stop()
    expect(await kindsOf('/one')).to.deep.equal(['process-alone'])
  })

  it('records the reset of all connections of an endpoint that accepts new ones', async () => {
    for (const connection of open) connection.close()
    expect(await kindsOf('/one')).to.deep.equal(['connections'])
    expect(log.events.map(({ fields }) => fields.kind)).to.deep.equal(['connections'])
  })

  it('records nothing if another connection stays open', async () => {
    open[0]?.close()
    expect(await kindsOf('/one', '/two')).to.deep.equal([undefined, undefined])
    expect(log.events).to.deep.equal([])
  })

  it('records nothing for an endpoint that is leaving', async () => {
    monitor.stop()
    endpoint.stop()
    expect(await kindsOf('/one')).to.deep.equal([undefined])
  })
})
