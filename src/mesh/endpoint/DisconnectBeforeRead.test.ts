/** Guards against running requests that a delayed process reads only after their senders have closed their connections. */
import { expect } from 'chai'
import type { EndpointId, RequestId, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { MeshRig, type IRigNode } from '../../../testing/mesh/MeshRig.js'
import { sendAndDisconnect } from '../../../testing/mesh/UnreadRequests.js'
import { encodeCall } from '../exchange/CallCodec.js'
import type { Idempotency } from '../Types.js'

const ROUTES = [{ prefix: '/status/', service: 'status' }, { prefix: '/pay/', service: 'status', kind: 'non_idempotent' }]
const TIMEOUT_MS = 5_000
const UNREAD_IDS = ['unread-1', 'unread-2', 'unread-3']
/** Each of these requests takes several event loop iterations, and each iteration reads at least one unread request. */
const LATER_REQUESTS = 6

describe('A request whose sender disconnected before the request was read', () => {
  let rig: MeshRig
  let node: IRigNode

  beforeEach(async () => {
    rig = new MeshRig()
    await rig.start(ROUTES)
    node = await rig.startServing('status')
    // Leaves an open connection to the endpoint, so that the later requests need not wait for one.
    await rig.call(node, { path: '/status/first', id: 'first' })
  })

  afterEach(() => rig.stop())

  /** Ids of the initially unread requests that ran, determined once the node has read all of them. */
  async function unreadIdsThatRan (): Promise<readonly string[]> {
    for (let count = 0; count < LATER_REQUESTS; count++) {
      const { status } = await rig.call(node, { path: '/status/later', id: `later-${count}` })
      expect(status).to.equal(200)
    }
    return node.endpoint.runs.map(({ id }) => id).filter((id) => UNREAD_IDS.includes(id))
  }

  it('does not reach the endpoint if another node sent it', async () => {
    sendAndDisconnect(node.ports.gate, UNREAD_IDS.map((id) => ({ id, path: '/status/1', fields: callFields(node, id, '/status/', 'idempotent') })))
    expect(await unreadIdsThatRan()).to.deep.equal([])
  })

  it('does not reach the endpoint if another node sent it as a non-idempotent request with a body', async () => {
    const requests = UNREAD_IDS.map((id) => ({ id, method: 'POST', path: '/pay/1', body: 'seven', fields: callFields(node, id, '/pay/', 'non-idempotent') }))
    sendAndDisconnect(node.ports.gate, requests)
    expect(await unreadIdsThatRan()).to.deep.equal([])
  })

  it('does not reach the endpoint if a caller sent it', async () => {
    sendAndDisconnect(node.ports.caller, UNREAD_IDS.map((id) => ({ id, path: '/status/1' })))
    expect(await unreadIdsThatRan()).to.deep.equal([])
  })

  it('does not reach the endpoint if a caller sent it as a non-idempotent request with a body', async () => {
    sendAndDisconnect(node.ports.caller, UNREAD_IDS.map((id) => ({ id, method: 'POST', path: '/pay/1', body: 'seven' })))
    expect(await unreadIdsThatRan()).to.deep.equal([])
  })
})

/** Header fields that a node adds to a call for the endpoint's node. */
function callFields ({ endpoint, service }: IRigNode, id: string, prefix: string, repeat: Idempotency): readonly string[] {
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
    objectiveAt: now + TIMEOUT_MS as Timestamp,
    deadlineAt: now + TIMEOUT_MS as Timestamp,
    method: 'GET',
    path: prefix,
    fields: [],
    body: undefined
  }, now as Timestamp)
}
