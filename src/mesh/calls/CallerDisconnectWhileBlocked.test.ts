/** Guards against sending a request whose caller disconnects while the process is blocked between its last look and the first byte. */
import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ClockService } from '../../common/ClockService.js'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { waitForPendingInput } from '../../common/PendingInput.js'
import type { Milliseconds, NetworkAddress } from '../../common/Types.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { describeOutcome, GateRig } from '../../../testing/mesh/GateRig.js'
import { LateCancellation } from '../../../testing/mesh/LateCancellation.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { NODE_HEADER } from '../exchange/CallCodec.js'
import { NodeQueries } from '../exchange/NodeQueries.js'
import type { NodeName } from '../Types.js'
import { RemoteNode } from './RemoteNode.js'

const EXPECTED = 50 as Milliseconds
/** The gate asks once when the request arrives and once before it uses its connection. */
const LAST_READ_OF_GATE = 2
/** A remote node is asked for once, when its connection is available. */
const LAST_READ_OF_REMOTE_NODE = 1

describe('A request whose caller disconnects while the process is blocked right before it is sent', () => {
  const clock = new ClockService()

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`is not sent to the endpoint: ${repeat}`, async () => {
      const rig = new GateRig({ clock, slots: 4, slowRequestDuration: 0 as Milliseconds })
      await rig.start()
      await rig.execute('earlier', NO_CANCELLATION)
      await waitForPendingInput()
      const outcome = await rig.execute('late', new LateCancellation(LAST_READ_OF_GATE), repeat)
      rig.stop()
      expect([describeOutcome(outcome), rig.executedPaths]).to.deep.equal(['cancelled', ['/earlier']])
    })
  }

  describe('at another node', () => {
    let server: Server
    let node: RemoteNode
    let calls: number

    beforeEach(async () => {
      calls = 0
      server = createServer((message, response) => {
        if (message.headers[NODE_HEADER.purpose] === undefined) calls++
        response.writeHead(200, [NODE_HEADER.outcome, 'answered', NODE_HEADER.processToken, 'one', 'content-length', '0']).end()
      })
      await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as NetworkAddress
      const queries = new NodeQueries({ clock, peerAddress: 'self:1' as NetworkAddress, timeout: 350 as Milliseconds })
      node = new RemoteNode({ name: 'n' as NodeName, address, queries, clock, log: new RecordingLog(), onLoad: () => undefined })
      await node.execute(meshCall('idempotent', clock.now()), EXPECTED, NO_CANCELLATION)
      await waitForPendingInput()
    })

    afterEach(() => {
      node.dispose()
      server.close()
      server.closeAllConnections()
    })

    for (const repeat of ['idempotent', 'non-idempotent'] as const) {
      it(`is not sent: ${repeat}`, async () => {
        const outcome = await node.execute(meshCall(repeat, clock.now()), EXPECTED, new LateCancellation(LAST_READ_OF_REMOTE_NODE))
        expect([describeOutcome(outcome), calls]).to.deep.equal(['cancelled', 1])
      })
    }
  })
})
