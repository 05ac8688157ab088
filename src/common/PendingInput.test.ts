/** Guards against missing input that arrives while the process is blocked between reading input and acting on it. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { blockEventLoop } from '../../testing/mesh/LateCancellation.js'
import { waitForPendingInput } from './PendingInput.js'

/** Times for which the process is blocked; all are longer than a usual iteration of the event loop. */
const BLOCK_MS = 150
const SHORT_BLOCK_MS = 70
/** Worker that writes one byte when it is notified. */
const WRITER = `
const { connect } = require('node:net')
const { workerData } = require('node:worker_threads')
const socket = connect(workerData.port, '127.0.0.1', () => {
  Atomics.store(workerData.state, 0, 1)
  Atomics.notify(workerData.state, 0)
  Atomics.wait(workerData.state, 0, 1)
  socket.write('x', () => {
    Atomics.store(workerData.state, 0, 3)
    Atomics.notify(workerData.state, 0)
  })
})
`

describe('PendingInput', () => {
  let server: Server
  let writer: Worker | undefined

  beforeEach(async () => {
    server = createServer()
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(async () => {
    await writer?.terminate()
    server.close()
  })

  /** Blocks the event loop while the worker writes its byte. */
  function blockDuringWrite (state: Int32Array, duration: number): void {
    Atomics.store(state, 0, 2)
    Atomics.notify(state, 0)
    Atomics.wait(state, 0, 2)
    blockEventLoop(duration)
  }

  for (const duration of [SHORT_BLOCK_MS, BLOCK_MS]) {
    it(`waits for input that arrives while the process is blocked for ${duration} ms after reading`, async () => { await checkInputIsRead(duration) })
  }

  async function checkInputIsRead (duration: number): Promise<void> {
    const { port } = server.address() as AddressInfo
    const state = new Int32Array(new SharedArrayBuffer(4))
    const accepted = once(server, 'connection')
    writer = new Worker(WRITER, { eval: true, execArgv: [], workerData: { port, state } })
    const [socket] = await accepted as [Socket]
    let received = 0
    socket.on('data', (bytes) => { received += bytes.length })
    while (Atomics.load(state, 0) !== 1) await new Promise((resolve) => setTimeout(resolve, 1))
    // Blocks in the event loop iteration in which the first round of reading finishes, right before it does.
    setImmediate(() => setImmediate(() => blockDuringWrite(state, duration)))
    await waitForPendingInput()
    expect(received).to.equal(1)
    socket.destroy()
  }

  it('stops waiting in a process that is permanently slow', async () => {
    let isDone = false
    const blockEachIteration = (): void => {
      blockEventLoop(BLOCK_MS)
      if (!isDone) setImmediate(blockEachIteration)
    }
    setImmediate(blockEachIteration)
    await waitForPendingInput()
    isDone = true
  })
})
