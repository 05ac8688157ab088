/** Guards against running a request whose caller has disconnected while the request was queued at another node. */
import { expect } from 'chai'
import { MeshRig, until, type IRigNode } from '../../../testing/mesh/MeshRig.js'

const ROUTES = [
  { prefix: '/status/', service: 'status' },
  { prefix: '/pay/', service: 'status', kind: 'non_idempotent' }
]
const SLOTS = 4
const WORK_MS = 1_000
const QUEUED = /^savoryknot_endpoint_waiting (\d+)$/m

describe('A caller that disconnects while its request is queued at another node', () => {
  let rig: MeshRig
  let near: IRigNode
  let far: IRigNode

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES)
    near = await rig.startServing('other')
    far = await rig.startServing('status', 'z2')
    far.endpoint.workTimeOf = (path) => path.includes('busy') ? WORK_MS : 0
  })

  afterEach(() => rig.stop())

  async function queuedRequests (): Promise<number> {
    const text = await (await fetch(`http://127.0.0.1:${far.ports.metrics}/metrics`)).text()
    return Number(QUEUED.exec(text)?.[1])
  }

  for (const prefix of ['/status/', '/pay/']) {
    it(`has its request removed from the queue: ${prefix}`, async () => {
      const busy = Array.from({ length: SLOTS }, (_, index) => rig.call(near, { path: `/pay/busy-${index}`, id: `busy-${index}`, deadline: 1_900 }))
      await until(() => far.endpoint.runs.length === SLOTS)
      const left = rig.startRequest(near, { path: `${prefix}left`, id: 'left', deadline: 1_900 })
      await until(async () => await queuedRequests() === 1)
      left.disconnect()
      await Promise.all(busy)
      await rig.call(near, { path: '/status/later', id: 'later', deadline: 1_900 })
      expect(far.endpoint.runs.slice(SLOTS).map(({ id }) => id)).to.deep.equal(['later'])
    })
  }
})
