/** Guards against running a call past its caller's deadline when it is delayed on the network, or unread at the other node. */
import { expect } from 'chai'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import type { Milliseconds, NetworkAddress, Timestamp } from '../../common/Types.js'
import { MessageFormat } from '../../../platform/MessageFormat.js'
import { findFreePorts } from '../../../testing/demonstration/FreePorts.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { GateRig } from '../../../testing/mesh/GateRig.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { RemoteNode } from '../calls/RemoteNode.js'
import { NodeQueries } from '../exchange/NodeQueries.js'
import { RequestBodyBudget } from '../exchange/RequestBodyBudget.js'
import type { AttemptOutcome, NodeName } from '../Types.js'
import { GateServer } from './GateServer.js'

const TIMEOUT_MS = 1_000
/** Time for which the relay delays a call between the two nodes; shorter than all timeouts of the calling node. */
const TRANSIT_MS = 250 as Milliseconds
/** Tolerance for clocks that read in whole milliseconds. */
const ROUNDING_MS = 3
const EXPECTED_SERVICE_TIME_MS = 1_000 as Milliseconds

describe('A call that is delayed in transit between two nodes', () => {
  let callingClock: ManualClock
  let servingClock: ManualClock
  let gateRig: GateRig
  let server: GateServer
  let relay: Server
  let node: RemoteNode
  /** Writes that the relay delays; undefined if it forwards everything at once. */
  let delayedWrites: Array<() => void> | undefined
  let sockets: Socket[]

  beforeEach(async () => {
    delayedWrites = undefined
    sockets = []
    callingClock = new ManualClock()
    servingClock = new ManualClock()
    // The clocks of different nodes may differ.
    await servingClock.advance(12_345)
    gateRig = new GateRig({ clock: servingClock, slots: 4, slowRequestDuration: 0 as Milliseconds })
    await gateRig.start()
    const common = { clock: servingClock, log: new RecordingLog(), format: new MessageFormat() }
    const [gatePort] = await findFreePorts(1) as [number]
    const gateAddress = `127.0.0.1:${gatePort}` as NetworkAddress
    server = new GateServer({ ...common, gate: gateRig.gate, address: gateAddress, processToken: 'one', requestBodies: new RequestBodyBudget() })
    await server.start()
    relay = createServer((socket) => {
      const upstream = connect(gatePort, '127.0.0.1')
      sockets.push(socket, upstream)
      for (const one of [socket, upstream]) one.on('error', () => undefined)
      socket.on('data', (bytes) => {
        if (delayedWrites === undefined) upstream.write(bytes)
        else delayedWrites.push(() => upstream.write(bytes))
      })
      upstream.on('data', (bytes) => socket.write(bytes))
    })
    await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(relay.address() as AddressInfo).port}` as NetworkAddress
    const queries = new NodeQueries({ clock: callingClock, peerAddress: 'self:1' as NetworkAddress, timeout: 350 as Milliseconds })
    node = new RemoteNode({ name: 'n' as NodeName, address, queries, clock: callingClock, log: common.log, onLoad: () => undefined })
  })

  afterEach(() => {
    node.dispose()
    server.stop()
    relay.close()
    for (const socket of sockets) socket.destroy()
    gateRig.stop()
  })

  function execute (timeout: number): Promise<AttemptOutcome> {
    const now = callingClock.now()
    const times = { objectiveAt: now + timeout as Timestamp, deadlineAt: now + timeout as Timestamp }
    return node.execute(meshCall('idempotent', now, { ...times, callerRequestId: undefined }), EXPECTED_SERVICE_TIME_MS, NO_CANCELLATION)
  }

  /** Outcome of a call that takes `transit` to reach the serving node. */
  async function executeDelayed (timeout: number, transit: Milliseconds): Promise<AttemptOutcome> {
    const waiting: Array<() => void> = delayedWrites = []
    const running = execute(timeout)
    await until(() => waiting.length > 0)
    await Promise.all([callingClock.advance(transit), servingClock.advance(transit)])
    delayedWrites = undefined
    for (const write of waiting) write()
    return await running
  }

  function lastDeadline (): number | undefined {
    return gateRig.endpoint.runs.at(-1)?.deadline
  }

  it('reaches the endpoint with a deadline reduced by its transit time', async () => {
    await execute(TIMEOUT_MS)
    expect(lastDeadline()).to.be.within(TIMEOUT_MS - ROUNDING_MS, TIMEOUT_MS)
    await executeDelayed(TIMEOUT_MS, TRANSIT_MS)
    expect(lastDeadline()).to.be.within(TIMEOUT_MS - TRANSIT_MS - ROUNDING_MS, TIMEOUT_MS - TRANSIT_MS + ROUNDING_MS)
  })

  it('is refused if it arrives after its caller\'s timeout', async () => {
    await execute(TIMEOUT_MS)
    const outcome = await executeDelayed(TRANSIT_MS - ROUNDING_MS, TRANSIT_MS)
    expect([outcome.kind, gateRig.endpoint.runs.length]).to.deep.equal(['refused', 1])
  })

  it('does not shorten the deadline of the next call that is not delayed', async () => {
    await execute(TIMEOUT_MS)
    await executeDelayed(TIMEOUT_MS, TRANSIT_MS)
    await execute(TIMEOUT_MS)
    expect(lastDeadline()).to.be.within(TIMEOUT_MS - ROUNDING_MS, TIMEOUT_MS)
  })

  it('has its full deadline again once the calling node was suspended together with its clock', async () => {
    await execute(TIMEOUT_MS)
    // The clock of the calling node stands still, so that its later calls seem to have been sent long ago.
    await servingClock.advance(TRANSIT_MS)
    await execute(TIMEOUT_MS)
    await execute(TIMEOUT_MS)
    expect(lastDeadline()).to.be.within(TIMEOUT_MS - ROUNDING_MS, TIMEOUT_MS)
  })
})
