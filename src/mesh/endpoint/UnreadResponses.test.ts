/** Guards against keeping large responses without a limit while other nodes do not read them. */
import { expect } from 'chai'
import { connect, type Socket } from 'node:net'
import { MessageFormat } from '../../../platform/MessageFormat.js'
import { findFreePorts } from '../../../testing/demonstration/FreePorts.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import { requestText } from '../../../testing/mesh/UnreadRequests.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { ClockService } from '../../common/ClockService.js'
import type { NetworkAddress } from '../../common/Types.js'
import { encodeCall } from '../exchange/CallCodec.js'
import { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import { RequestBodyBudget } from '../exchange/RequestBodyBudget.js'
import type { AttemptOutcome } from '../Types.js'
import type { EndpointGate } from './EndpointGate.js'
import { GateServer } from './GateServer.js'

const READERS = 4
const LARGE_BYTES = 12_000_000
/** Two responses fit, three do not. */
const LIMIT_BYTES = 30_000_000
const FITTING = 2

describe('Large responses that other nodes do not read', () => {
  it('are dropped, the oldest first, until the rest fits in the limit', async () => {
    const [port] = await findFreePorts(1) as [number]
    const clock = new ClockService()
    const log = new RecordingLog()
    const responseBuffers = new ResponseBufferBudget({ limit: LIMIT_BYTES })
    const execute = async (): Promise<AttemptOutcome> => ({ kind: 'answered', answer: { status: 200, fields: [], body: Buffer.alloc(LARGE_BYTES) } })
    const server = new GateServer({
      gate: { execute } as unknown as EndpointGate,
      format: new MessageFormat(),
      address: `127.0.0.1:${port}` as NetworkAddress,
      processToken: 'one',
      clock,
      log,
      responseBuffers,
      requestBodies: new RequestBodyBudget()
    })
    await server.start()
    const readers: Socket[] = []
    for (let number = 0; number < READERS; number++) {
      const reader = connect(port, '127.0.0.1').pause()
      reader.on('error', () => undefined)
      reader.write(requestText({ path: '/', id: `r${number}`, fields: encodeCall(meshCall('idempotent', clock.now()), clock.now()) }))
      readers.push(reader)
      await until(() => server.inFlight + dropped(log) === number + 1)
      await until(() => responseBuffers.bytes === Math.min(number + 1, FITTING) * LARGE_BYTES)
    }
    expect([dropped(log), server.inFlight]).to.deep.equal([READERS - FITTING, FITTING])
    for (const reader of readers) reader.destroy()
    await until(() => server.inFlight === 0 && responseBuffers.bytes === 0)
    await server.stop()
  })
})

function dropped (log: RecordingLog): number {
  return log.events.filter(({ name }) => name === 'response-dropped').length
}
