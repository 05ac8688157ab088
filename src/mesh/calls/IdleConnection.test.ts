/** Guards against closing a caller's connection at the idle timeout although a request has arrived and is still unread. */
import { expect } from 'chai'
import { once } from 'node:events'
import { connect } from 'node:net'
import { Worker } from 'node:worker_threads'
import { MeshRig, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { requestText } from '../../../testing/mesh/UnreadRequests.js'

const ROUTES = [{ prefix: '/pay/', service: 'fee', kind: 'non_idempotent' }]
const IDLE_MS = 100
const STALL_MS = 1_500
const MAXIMUM_WAIT_MS = 5_000
const REQUEST = requestText({ method: 'POST', path: '/pay/1', id: 'kept', body: 'x' })

/** Sends a second request after the response to the first one. Posts a message on the first response, and all received text on close. */
const CLIENT = `
const { connect } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const { port, text, sent } = workerData
let received = ''
const socket = connect(port, '127.0.0.1', () => socket.write(text))
socket.setEncoding('latin1').on('error', () => undefined).on('data', (part) => {
  if (received === '') {
    parentPort.postMessage('answered')
    setTimeout(() => socket.write(text, () => {
      Atomics.store(sent, 0, 1)
      Atomics.notify(sent, 0)
    }), 10)
  }
  received += part
})
socket.once('close', () => parentPort.postMessage(received))
`

describe('A connection of a caller that is idle', () => {
  let rig: MeshRig
  let node: IRigNode

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES, { idleTimeout: IDLE_MS })
    node = await rig.startServing('fee')
  })

  afterEach(() => rig.stop())

  it('is not closed by the idle timeout if a request has arrived in time but is read late', async () => {
    const sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
    const client = new Worker(CLIENT, { eval: true, execArgv: [], workerData: { port: node.ports.caller, text: REQUEST, sent } })
    await once(client, 'message')
    // Blocks this process until the request has arrived and the idle timeout has expired.
    Atomics.wait(sent, 0, 0, MAXIMUM_WAIT_MS)
    Atomics.wait(sent, 0, 1, STALL_MS)
    const [received] = await once(client, 'message') as [string]
    expect(received.match(/HTTP\/1\.1 200/g)?.length).to.equal(2)
    expect(node.endpoint.runs.length).to.equal(2)
  })

  it('is closed by the idle timeout if no request has arrived', async () => {
    const socket = connect(node.ports.caller, '127.0.0.1')
    socket.write(REQUEST)
    let received = ''
    socket.setEncoding('latin1').on('data', (part: string) => { received += part })
    await once(socket, 'close')
    expect(received.match(/HTTP\/1\.1 200/g)?.length).to.equal(1)
  })
})
