/** The time that a caller has for the head of its request, at a process that is late itself. */
import { expect } from 'chai'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { configurationText } from '../../../testing/mesh/ConfigurationText.js'
import { MeshRig, until, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { requestText } from '../../../testing/mesh/UnreadRequests.js'

const ROUTES = [{ prefix: '/status/', service: 'status' }]
const HEAD_TIMEOUT_MS = 100
/** Longer than the time between two looks of the server at its connections. */
const STALL_MS = 1_200

describe('A caller whose head must come in time', () => {
  let rig: MeshRig
  let node: IRigNode
  let socket: Socket
  let received: string

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES)
    node = await rig.startServing('status')
    const text = configurationText(2, ROUTES).replace(/"headerTimeoutMs":\d+/, `"headerTimeoutMs":${HEAD_TIMEOUT_MS}`)
    rig.store.put('op', 'config', text)
    await until(() => node.log.events.some(({ name, fields }) => name === 'configuration-applied' && fields.version === 2))
    // Leaves the connection to the endpoint behind.
    await rig.call(node, { path: '/status/first' })
    received = ''
    socket = connect({ port: node.ports.caller, host: '127.0.0.1', allowHalfOpen: true })
    socket.on('data', (bytes) => { received += bytes.toString() })
    socket.on('error', () => undefined)
    await once(socket, 'connect')
  })

  afterEach(async () => {
    socket.destroy()
    await rig.stop()
  })

  it('is served if the head came in time, but lay unread', async () => {
    // Lets the server take the connection.
    await rig.call(node, { path: '/status/second' })
    socket.write(requestText({ id: 'unread', path: '/status/unread' }))
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS)
    await until(() => received !== '' || socket.destroyed)
    expect(received).to.match(/^HTTP\/1.1 200 /)
  })

  it('is told that its request has not run if the head does not come, and it does not run later', async () => {
    const head = requestText({ id: 'late', path: '/status/late' })
    socket.write(head.slice(0, -2))
    await once(socket, 'end')
    socket.write(head.slice(-2))
    await until(() => node.log.events.some(({ name, fields }) => name === 'caller-malformed' && fields.step === 'caller.request'))
    await rig.call(node, { path: '/status/second' })
    expect(received).to.match(/^HTTP\/1.1 408 /)
    expect(node.endpoint.runs.map(({ path }) => path)).to.deep.equal(['/status/first', '/status/second'])
  })
})
