/** A process that was late reads requests whose senders closed their connections before. */
import { expect } from 'chai'
import type { EndpointId, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { MeshRig, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { sendAndLeave } from '../../../testing/mesh/UnreadRequests.js'
import { encodeCall } from '../exchange/CallCodec.js'
import type { RepeatKind } from '../Types.js'

const ROUTES = [{ prefix: '/status/', service: 'status' }, { prefix: '/pay/', service: 'status', kind: 'non_idempotent' }]
const PATIENCE_MS = 5_000
const UNREAD = ['unread-1', 'unread-2', 'unread-3']
/** Each one takes several turns of the loop, and each turn reads at least one unread request. */
const LATER_REQUESTS = 6

describe('A request whose sender left before it was read', () => {
  let rig: MeshRig
  let node: IRigNode

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES)
    node = await rig.startServing('status')
    // Leaves a connection to the endpoint behind, so that nothing has to be waited for.
    await rig.call(node, { path: '/status/first', id: 'first' })
  })

  afterEach(() => rig.stop())

  /** Unread requests that ran, once the node has read all of them. */
  async function ran (): Promise<readonly string[]> {
    for (let count = 0; count < LATER_REQUESTS; count++) {
      const { status } = await rig.call(node, { path: '/status/later', id: `later-${count}` })
      expect(status).to.equal(200)
    }
    return node.endpoint.runs.map(({ id }) => id).filter((id) => UNREAD.includes(id))
  }

  it('does not reach the endpoint if another node sent it', async () => {
    sendAndLeave(node.ports.gate, UNREAD.map((id) => ({ id, path: '/status/1', fields: callFields(node, id, '/status/', 'idempotent') })))
    expect(await ran()).to.deep.equal([])
  })

  it('does not reach the endpoint if another node sent it with a body, to be run once at most', async () => {
    const requests = UNREAD.map((id) => ({ id, method: 'POST', path: '/pay/1', body: 'seven', fields: callFields(node, id, '/pay/', 'non-idempotent') }))
    sendAndLeave(node.ports.gate, requests)
    expect(await ran()).to.deep.equal([])
  })

  it('does not reach the endpoint if a caller sent it', async () => {
    sendAndLeave(node.ports.caller, UNREAD.map((id) => ({ id, path: '/status/1' })))
    expect(await ran()).to.deep.equal([])
  })

  it('does not reach the endpoint if a caller sent it with a body, to be run once at most', async () => {
    sendAndLeave(node.ports.caller, UNREAD.map((id) => ({ id, method: 'POST', path: '/pay/1', body: 'seven' })))
    expect(await ran()).to.deep.equal([])
  })
})

/** What a node adds to a call for the node beside the endpoint. */
function callFields ({ endpoint, service }: IRigNode, id: string, prefix: string, repeat: RepeatKind): readonly string[] {
  const now = Date.now()
  return encodeCall({
    requestId: `of-${id}` as RequestId,
    callerRequestId: undefined,
    route: `r-${prefix}` as RouteName,
    service: service as ServiceName,
    endpoint: endpoint.id as EndpointId,
    callerService: 'caller',
    repeat,
    rank: 0,
    objectiveAt: now + PATIENCE_MS as Timestamp,
    deadlineAt: now + PATIENCE_MS as Timestamp,
    method: 'GET',
    path: prefix,
    fields: [],
    body: undefined
  }, now as Timestamp)
}
