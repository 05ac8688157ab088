/** Calls that are long under way from one node to another, or lie there unread. */
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
import { NodeQuestions } from '../exchange/NodeQuestions.js'
import type { AttemptOutcome, NodeName } from '../Types.js'
import { GateServer } from './GateServer.js'

const PATIENCE_MS = 1_000
/** Time for which a call lies between the two nodes, below all waits of the near one. */
const WAY_MS = 250 as Milliseconds
/** The clocks show whole milliseconds. */
const ROUNDING_MS = 3
const EXPECTED = 1_000 as Milliseconds

describe('A call that was long under way between two nodes', () => {
  let nearClock: ManualClock
  let farClock: ManualClock
  let gateRig: GateRig
  let server: GateServer
  let relay: Server
  let node: RemoteNode
  /** What the relay has of the calls and does not pass on; undefined if it passes on everything. */
  let held: Array<() => void> | undefined
  let sockets: Socket[]

  beforeEach(async () => {
    held = undefined
    sockets = []
    nearClock = new ManualClock()
    farClock = new ManualClock()
    // Clocks of different nodes need not agree.
    await farClock.advance(12_345)
    gateRig = new GateRig({ clock: farClock, slots: 4, firstWork: 0 as Milliseconds })
    await gateRig.start()
    const common = { clock: farClock, log: new RecordingLog(), format: new MessageFormat() }
    const [gatePort] = await findFreePorts(1) as [number]
    server = new GateServer({ ...common, gate: gateRig.gate, address: `127.0.0.1:${gatePort}` as NetworkAddress, processToken: 'one' })
    await server.start()
    relay = createServer((socket) => {
      const other = connect(gatePort, '127.0.0.1')
      sockets.push(socket, other)
      for (const one of [socket, other]) one.on('error', () => undefined)
      socket.on('data', (bytes) => {
        if (held === undefined) other.write(bytes)
        else held.push(() => other.write(bytes))
      })
      other.on('data', (bytes) => socket.write(bytes))
    })
    await new Promise<void>((resolve) => { relay.listen(0, '127.0.0.1', resolve) })
    const address = `127.0.0.1:${(relay.address() as AddressInfo).port}` as NetworkAddress
    const questions = new NodeQuestions({ clock: nearClock, peerAddress: 'self:1' as NetworkAddress, timeout: 350 as Milliseconds })
    node = new RemoteNode({ name: 'n' as NodeName, address, questions, clock: nearClock, log: common.log, onLoad: () => undefined })
  })

  afterEach(() => {
    node.dispose()
    server.stop()
    relay.close()
    for (const socket of sockets) socket.destroy()
    gateRig.stop()
  })

  function execute (patience: number): Promise<AttemptOutcome> {
    const now = nearClock.now()
    const times = { objectiveAt: now + patience as Timestamp, deadlineAt: now + patience as Timestamp }
    return node.execute(meshCall('idempotent', now, { ...times, callerRequestId: undefined }), EXPECTED, NO_CANCELLATION)
  }

  /** Outcome of a call that takes `way` to the other node. */
  async function executeHeld (patience: number, way: Milliseconds): Promise<AttemptOutcome> {
    const waiting: Array<() => void> = held = []
    const running = execute(patience)
    await until(() => waiting.length > 0)
    await Promise.all([nearClock.advance(way), farClock.advance(way)])
    held = undefined
    for (const pass of waiting) pass()
    return await running
  }

  function lastDeadline (): number | undefined {
    return gateRig.endpoint.runs.at(-1)?.deadline
  }

  it('hands the endpoint no more time than its caller has left', async () => {
    await execute(PATIENCE_MS)
    expect(lastDeadline()).to.be.within(PATIENCE_MS - ROUNDING_MS, PATIENCE_MS)
    await executeHeld(PATIENCE_MS, WAY_MS)
    expect(lastDeadline()).to.be.within(PATIENCE_MS - WAY_MS - ROUNDING_MS, PATIENCE_MS - WAY_MS + ROUNDING_MS)
  })

  it('does not run once its caller waits no more', async () => {
    await execute(PATIENCE_MS)
    const outcome = await executeHeld(WAY_MS - ROUNDING_MS, WAY_MS)
    expect([outcome.kind, gateRig.endpoint.runs.length]).to.deep.equal(['refused', 1])
  })

  it('leaves the next one all its time', async () => {
    await execute(PATIENCE_MS)
    await executeHeld(PATIENCE_MS, WAY_MS)
    await execute(PATIENCE_MS)
    expect(lastDeadline()).to.be.within(PATIENCE_MS - ROUNDING_MS, PATIENCE_MS)
  })

  it('keeps its time after a node stood still as its clock did', async () => {
    await execute(PATIENCE_MS)
    // The near one, whose calls now seem to have been sent long ago.
    await farClock.advance(WAY_MS)
    await execute(PATIENCE_MS)
    await execute(PATIENCE_MS)
    expect(lastDeadline()).to.be.within(PATIENCE_MS - ROUNDING_MS, PATIENCE_MS)
  })
})
