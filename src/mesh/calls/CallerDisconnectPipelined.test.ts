/** A caller that disconnects while several pipelined requests of its connection are in progress. */
import { expect } from 'chai'
import { connect } from 'node:net'
import { MeshRig, until, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { requestText } from '../../../testing/mesh/UnreadRequests.js'

/** Timeout in milliseconds; long enough that no deadline ends the work during the test. */
const TIMEOUT = 60_000
const ROUTES = [{ prefix: '/status/', service: 'status', timeout: TIMEOUT }]

describe('A caller that disconnects with several requests in progress on its connection', () => {
  let rig: MeshRig
  let node: IRigNode

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES)
    node = await rig.startServing('status')
    node.endpoint.workTime = TIMEOUT
  })

  afterEach(() => rig.stop())

  it('aborts the runs of all these requests', async () => {
    const ids = ['one', 'two']
    const socket = connect(node.ports.caller, '127.0.0.1')
    socket.write(ids.map((id) => requestText({ id, path: '/status/1', callerTimeout: TIMEOUT })).join(''))
    await until(() => node.endpoint.runs.length === ids.length)
    const abandoned = new Set<string>()
    node.endpoint.onAbandoned = (id) => abandoned.add(id)
    socket.destroy()
    await until(() => abandoned.size === ids.length)
  })
  it('leaves no request that a planned stop counts as unfinished', async () => {
    node.endpoint.workTimeOf = (path) => path === '/status/last' ? 0 : TIMEOUT
    const socket = connect(node.ports.caller, '127.0.0.1')
    socket.write(['one', 'two'].map((id) => requestText({ id, path: '/status/1', callerTimeout: TIMEOUT })).join(''))
    await until(() => node.endpoint.runs.length === 2)
    socket.destroy()
    await until(() => node.log.events.filter(({ name }) => name === 'call-finished').length === 2)
    await rig.call(node, { path: '/status/last' })
    await node.daemon.stop()
    const stopped = node.log.events.find(({ name }) => name === 'node-stopped')
    expect(stopped?.fields.unfinished).to.equal(0)
  })
})
