/** Callers that disconnect during their request or the response: by close, by reset, and by closing only their sending direction. */
import { expect } from 'chai'
import { connect, type Socket } from 'node:net'
import { MeshRig, until, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { requestText } from '../../../testing/mesh/UnreadRequests.js'

/** Timeout in milliseconds; long enough that no deadline ends the work during the test. */
const TIMEOUT = 60_000
const ROUTES = [
  { prefix: '/status/', service: 'status', timeout: TIMEOUT },
  { prefix: '/pay/', service: 'status', kind: 'non_idempotent', timeout: TIMEOUT }
]
/** Chunk of a request body; larger than the buffer of a stream that is not read. */
const CHUNK = 'x'.repeat(40_000)
const CHUNK_FIELDS = ['transfer-encoding', 'chunked']

/** Ways to end a connection; the last one leaves the receiving direction open. */
const ENDS: ReadonlyArray<readonly [string, (socket: Socket) => void]> = [
  ['a close', (socket) => { socket.destroy() }],
  ['a reset', (socket) => { socket.resetAndDestroy() }],
  ['a half-close', (socket) => { socket.end() }]
]

for (const [name, end] of ENDS) {
  describe(`A caller that disconnects by ${name}`, () => {
    let rig: MeshRig
    let near: IRigNode
    let far: IRigNode
    let socket: Socket

    beforeEach(async () => {
      rig = new MeshRig()
      await rig.start(ROUTES)
      near = await rig.startServing('other')
      far = await rig.startServing('status', 'z2')
      await rig.call(near, { path: '/status/first', id: 'first' })
      socket = connect(near.ports.caller, '127.0.0.1')
      socket.on('error', () => undefined)
    })

    afterEach(async () => {
      socket.destroy()
      await rig.stop()
    })

    for (const prefix of ['/status/', '/pay/']) {
      it(`during the body of its request causes no run at the endpoint: ${prefix}`, async () => {
        const head = requestText({ method: 'POST', id: 'left', path: `${prefix}1`, fields: CHUNK_FIELDS, callerTimeout: TIMEOUT })
        await new Promise((resolve) => socket.write(`${head}${CHUNK.length.toString(16)}\r\n${CHUNK}\r\n`, resolve))
        await rig.call(near, { path: '/status/meanwhile', id: 'meanwhile' })
        end(socket)
        await rig.call(near, { path: '/status/later', id: 'later' })
        expect(far.endpoint.runs.map(({ id }) => id)).to.deep.equal(['first', 'meanwhile', 'later'])
      })
    }

    it('while the endpoint of another node runs its request aborts the run', async () => {
      far.endpoint.workTime = TIMEOUT
      socket.write(requestText({ id: 'left', path: '/status/1', callerTimeout: TIMEOUT }))
      await until(() => far.endpoint.runs.length === 2)
      end(socket)
      await until(() => far.endpoint.abandoned === 1)
    })

    it('during the response closes the connection to the endpoint', async () => {
      let connections = 0
      far.endpoint.mode = 'scripted'
      far.endpoint.script = (answering, fields) => {
        connections++
        answering.once('close', () => { connections-- })
        answering.write(`HTTP/1.1 200 OK\r\n${fields}content-length: 100\r\n\r\npart`)
      }
      socket.write(requestText({ id: 'left', path: '/status/1', callerTimeout: TIMEOUT }))
      await until(() => connections === 1)
      end(socket)
      await until(() => connections === 0)
    })
  })
}
