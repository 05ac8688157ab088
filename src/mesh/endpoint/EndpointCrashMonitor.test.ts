/** The end of the endpoint's process must be told apart from resets of its connections. */
import { expect } from 'chai'
import { ClockService } from '../../common/ClockService.js'
import type { EndpointId, Milliseconds, NetworkAddress } from '../../common/Types.js'
import { UpstreamConnections, type UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { EndpointStandIn } from '../../../testing/mesh/EndpointStandIn.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { RequestIdentity } from '../crashes/RequestIdentity.js'
import { EndpointCrashMonitor, type IEndpointCrash } from './EndpointCrashMonitor.js'

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

  async function recordTwo (): Promise<Array<IEndpointCrash | undefined>> {
    const identities = ['/one', '/two'].map((path) => new RequestIdentity({ method: 'GET', path, fields: [], body: undefined }))
    return await Promise.all(identities.map((identity) => monitor.recordBrokenExchange(identity)))
  }

  it('reports the end of the process with all requests that it was executing', async () => {
    endpoint.stop()
    const crash = { cause: 'process', requests: 2 }
    expect(await recordTwo()).to.deep.equal([crash, crash])
    expect(log.events.map(({ name, fields }) => [name, fields.cause, String(fields.fingerprints).split(' ').length]))
      .to.deep.equal([['endpoint-connections-lost', 'process', 2]])
  })

  it('reports the reset of all connections of an endpoint that accepts new ones', async () => {
    for (const connection of open) connection.close()
    const crash = { cause: 'connections', requests: 2 }
    expect(await recordTwo()).to.deep.equal([crash, crash])
  })

  it('reports nothing if another connection stays open', async () => {
    open[0]?.close()
    expect(await recordTwo()).to.deep.equal([undefined, undefined])
    expect(log.events).to.deep.equal([])
  })
})
