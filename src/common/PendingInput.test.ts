/** What arrives while this process is held up between its reading and what it does then. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'
import { pendingInputRead } from './PendingInput.js'

/** Longer than a turn of the event loop usually takes. */
const HOLD_UP_MS = 150
/** Writes one byte when it is told to. */
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

describe('pendingInputRead', () => {
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

  /** Stands still, with what another thread writes meanwhile. */
  function holdUp (state: Int32Array): void {
    Atomics.store(state, 0, 2)
    Atomics.notify(state, 0)
    Atomics.wait(state, 0, 2)
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HOLD_UP_MS)
  }

  it('reads what came while the process was held up after its reading', async () => {
    const { port } = server.address() as AddressInfo
    const state = new Int32Array(new SharedArrayBuffer(4))
    const accepted = once(server, 'connection')
    writer = new Worker(WRITER, { eval: true, execArgv: [], workerData: { port, state } })
    const [socket] = await accepted as [Socket]
    let received = 0
    socket.on('data', (bytes) => { received += bytes.length })
    while (Atomics.load(state, 0) !== 1) await new Promise((resolve) => setTimeout(resolve, 1))
    // In the turn in which the reading ends, right before that.
    setImmediate(() => setImmediate(() => holdUp(state)))
    await pendingInputRead()
    expect(received).to.equal(1)
    socket.destroy()
  })

  it('goes on in a process that is slow for good', async () => {
    let isOver = false
    const slow = (): void => {
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, HOLD_UP_MS)
      if (!isOver) setImmediate(slow)
    }
    setImmediate(slow)
    await pendingInputRead()
    isOver = true
  })
})
