/** The timeout for the head of a request, in particular if the event loop of the node is delayed. */
import { expect } from 'chai'
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { configurationText } from '../../../testing/mesh/ConfigurationText.js'
import { MeshRig, until, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { requestText } from '../../../testing/mesh/UnreadRequests.js'

const ROUTES = [{ prefix: '/status/', service: 'status' }]
const HEAD_TIMEOUT_MS = 100
/** Longer than the interval at which the server checks its connections for timeouts. */
const STALL_MS = 1_200

describe('A request head with a timeout', () => {
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
    // Opens the connection to the endpoint in advance.
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

  it('is accepted if it arrived in time but is read after the timeout', async () => {
    // Lets the server accept the connection.
    await rig.call(node, { path: '/status/second' })
    socket.write(requestText({ id: 'unread', path: '/status/unread' }))
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS)
    await until(() => received !== '' || socket.destroyed)
    expect(received).to.match(/^HTTP\/1.1 200 /)
  })

  it('gets status 408 if it does not arrive in time, and its request does not run later', async () => {
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
