/** A write that the previous process of a node sent to the store, and that the store applies only after that process has exited. */
import { expect } from 'chai'
import { MeshRig, until, type IRigNode } from '../../../testing/mesh/MeshRig.js'

const ROUTES = [{ prefix: '/status/', service: 'status' }]
const NODES = 'nodes'
const NAME = 'node-0'

interface IRow {
  readonly isLeaving: boolean
  readonly endpoint: { readonly phase: string }
}

describe('A store write of the previous process of a node that is applied after the restart', () => {
  let rig: MeshRig
  let node: IRigNode
  let other: IRigNode

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES)
    node = await rig.startServing('status')
    other = await rig.startServing('other', 'z2')
  })

  afterEach(() => rig.stop())

  function row (): IRow {
    return JSON.parse(rig.store.get(NODES, NAME) ?? '{}') as IRow
  }

  it('does not stop other nodes from sending requests to the endpoint of the restarted node', async () => {
    expect((await rig.call(other, { path: '/status/before' })).status).to.equal(200)
    rig.store.put(NODES, NAME, JSON.stringify({ ...row(), isLeaving: true }))
    await until(() => !row().isLeaving)
    await until(async () => (await rig.call(other, { path: '/status/after' })).status === 200)
    expect(node.endpoint.runs.at(-1)?.path).to.equal('/status/after')
  })

  it('keeps its endpoint phase when the restarted node only knows an earlier phase', async () => {
    const { endpoint } = row()
    rig.store.put(NODES, NAME, JSON.stringify({ ...row(), isLeaving: true, endpoint: { ...endpoint, phase: 'draining' } }))
    await until(() => !row().isLeaving)
    expect(row().endpoint.phase).to.equal('draining')
  })
})
