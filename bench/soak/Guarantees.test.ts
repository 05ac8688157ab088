/** Each violated guarantee of the soak is reported, unless a disruption excuses it. */
import { expect } from 'chai'
import { Guarantees } from './Guarantees.js'
import { SoakDeployment, versionPrefix } from './SoakDeployment.js'
import type { DisruptionKind, ICallerRecord, RequestKind } from './Types.js'

const UNDISTURBED_SINCE = 100_000

function serviceOf (kind: RequestKind): string {
  return kind === 'pay' ? 'fee' : 'status'
}

describe('Guarantees of the soak', () => {
  let deployment: SoakDeployment

  beforeEach(() => {
    deployment = new SoakDeployment()
    for (const node of ['n0', 'n1']) deployment.services.start(node, 'status', 0)
    addRequest('afterwards', 'read', { status: 200, sentAt: UNDISTURBED_SINCE + 1 }, ['n1'])
  })

  /** Records a request with one run at each of `nodes`; by default the endpoint of the first node signed a complete response. */
  function addRequest (id: string, kind: RequestKind, overrides: Partial<ICallerRecord>, nodes: readonly string[]): void {
    const path = overrides.path ?? `/${kind}/usual/${id}`
    const sentAt = overrides.sentAt ?? 10_000
    const signature = overrides.status === 200 ? `by i-${nodes[0] ?? 'n1'}.1` : ''
    deployment.callerRecords.push({
      id,
      node: 'n0',
      kind,
      path,
      sentAt,
      endedAt: sentAt + 30,
      status: 200,
      body: `answer to ${path}`,
      signature,
      retryAfter: undefined,
      hasLeft: false,
      isWholeSent: true,
      incarnation: 1,
      ...overrides
    })
    deployment.runs.set(id, nodes.map((node) => ({ id, node, path, service: serviceOf(kind), callerService: 'status', startedAt: sentAt + 5, abandonedAt: undefined })))
  }

  function disturb (kind: DisruptionKind, subject: string, from: number, until: number): void {
    deployment.disruptions.startDisruption(kind, subject, from)(until)
  }

  function brokenGuarantees (): readonly string[] {
    return new Guarantees(deployment).check(UNDISTURBED_SINCE).map(({ guarantee }) => guarantee)
  }

  it('are kept if responses are complete and refused requests have not run', () => {
    addRequest('a', 'read', { status: 200 }, ['n1'])
    addRequest('b', 'pay', { status: 503, retryAfter: 0.2 }, [])
    expect(brokenGuarantees()).to.deep.equal([])
  })

  it('are violated if a non-idempotent request runs twice, runs although it was refused, or a refusal has no retry time', () => {
    addRequest('a', 'pay', { status: 200 }, ['n1', 'n2'])
    addRequest('b', 'pay', { status: 503, retryAfter: 0.2 }, ['n1'])
    addRequest('c', 'read', { status: 429 }, [])
    expect(brokenGuarantees()).to.deep.equal(['a non-idempotent request runs at most once', 'a refused non-idempotent request does not run', 'a refusal states when to retry'])
  })

  it('are violated if a response belongs to another request, or is signed by an endpoint that did not run the request', () => {
    addRequest('a', 'read', { status: 200, body: 'answer to /read/other' }, ['n1'])
    addRequest('b', 'read', { status: 200, signature: 'by i-n7.1' }, ['n1'])
    expect(brokenGuarantees()).to.deep.equal(Array.from({ length: 2 }, () => 'a response is complete and for its request'))
  })

  it('excuse a lost request if a node on its path was killed, but not if its node was stopped as planned', () => {
    addRequest('a', 'read', { status: 0 }, ['n1'])
    addRequest('b', 'read', { status: 0, sentAt: 20_000 }, ['n2'])
    disturb('stopping', 'n0', 9_000, 11_000)
    disturb('killed', 'n2', 19_000, 21_000)
    expect(brokenGuarantees()).to.deep.equal(['no request is lost in planned operations'])
  })

  it('excuse a request that is cut off in the last sixth of the stop timeout, but not earlier', () => {
    disturb('stopping', 'n0', 10_000, 13_000)
    addRequest('a', 'read', { status: 0, sentAt: 11_600, endedAt: 12_600 }, ['n1'])
    expect(brokenGuarantees()).to.deep.equal([])
    addRequest('b', 'read', { status: 0, sentAt: 11_500, endedAt: 12_400 }, ['n1'])
    expect(brokenGuarantees()).to.deep.equal(['no request is lost in planned operations'])
  })

  it('are violated if a response is overdue, unless its node was paused', () => {
    addRequest('a', 'read', { status: 504, endedAt: 12_600 }, ['n1'])
    addRequest('b', 'read', { status: 504, sentAt: 30_000, endedAt: 32_600 }, ['n1'])
    disturb('paused', 'n0', 31_000, 32_000)
    expect(brokenGuarantees()).to.deep.equal(['a final response arrives in time'])
  })

  it('are violated if a configuration becomes active late, or a process returns to an older one', () => {
    const probe = (version: number): Partial<ICallerRecord> => ({ path: `${versionPrefix(version)}usual/x` })
    deployment.versions.set(3, 10_000)
    addRequest('a', 'probe', { ...probe(3), status: 404, sentAt: 15_100 }, [])
    expect(brokenGuarantees()).to.deep.equal(['a confirmed configuration becomes active in time'])
    disturb('store', '*', 12_000, 13_000)
    expect(brokenGuarantees()).to.deep.equal([])
    addRequest('b', 'probe', { ...probe(4), status: 200, sentAt: 14_000 }, ['n1'])
    expect(brokenGuarantees()).to.deep.equal(['a process never returns to an older configuration'])
  })

  it('are violated if a request starts at a draining endpoint, or service does not recover', () => {
    deployment.drains.push({ node: 'n1', from: 9_000, until: 12_000 })
    addRequest('a', 'read', { status: 200 }, ['n1'])
    addRequest('b', 'read', { status: 503, retryAfter: 1, sentAt: UNDISTURBED_SINCE + 10 }, [])
    expect(brokenGuarantees()).to.deep.equal(['no request starts at a draining endpoint', 'service recovers fully after the faults'])
  })

  it('are violated if an endpoint is told another caller service than that of the VM, whatever was disturbed', () => {
    addRequest('a', 'read', { status: 200 }, ['n1'])
    addRequest('b', 'pay', { status: 200, node: 'n5' }, ['n1'])
    deployment.services.start('n5', 'fee', 0)
    disturb('killed', 'n0', 9_000, 11_000)
    expect(brokenGuarantees()).to.deep.equal(['the caller service is that of the VM where the request began'])
  })

  it('are violated if a foreign report is acknowledged', () => {
    const report = { node: 'n0', sentAt: 10_000, fault: 'unnamed service', id: 'i-foreign', body: '{}' }
    deployment.foreignReports.push({ ...report, status: 400 }, { ...report, status: 503 }, { ...report, status: 202 })
    expect(brokenGuarantees()).to.deep.equal(['a foreign report is not acknowledged'])
  })

  it('are violated if a request runs at an endpoint of another service than that of its route', () => {
    addRequest('a', 'pay', { status: 200, path: '/pay/usual/a' }, ['n1'])
    deployment.runs.set('a', [{ id: 'a', node: 'n1', path: '/pay/usual/a', service: 'status', callerService: 'status', startedAt: 10_005, abandonedAt: undefined }])
    expect(brokenGuarantees()).to.deep.equal(['a request runs at an endpoint of the service of its route'])
  })

  it('allow both services while that of a VM changes, and only the new one afterwards', () => {
    deployment.services.start('n5', 'fee', 0)(10_000)
    deployment.services.start('n5', 'status', 9_500)
    const addWithCaller = (id: string, sentAt: number, callerService: string): void => {
      addRequest(id, 'read', { status: 200, node: 'n5', sentAt }, ['n1'])
      deployment.runs.set(id, (deployment.runs.get(id) ?? []).map((run) => ({ ...run, callerService })))
    }
    addWithCaller('a', 9_600, 'fee')
    addWithCaller('b', 9_600, 'status')
    expect(brokenGuarantees()).to.deep.equal([])
    addWithCaller('c', 9_000, 'status')
    addWithCaller('d', 10_100, 'fee')
    expect(brokenGuarantees()).to.deep.equal(Array.from({ length: 2 }, () => 'the caller service is that of the VM where the request began'))
  })

  it('are violated if a new endpoint of changed settings is refused or unused for long, unless the process or the way to it was disturbed', () => {
    const change = { node: 'n0', service: 'fee', changedAt: 10_000 }
    deployment.settingsChanges.push({ ...change, acknowledgedAt: 11_000, usedAt: 12_000 })
    expect(brokenGuarantees()).to.deep.equal([])
    deployment.settingsChanges.push({ ...change, acknowledgedAt: 12_000, usedAt: 12_100 })
    deployment.settingsChanges.push({ ...change, acknowledgedAt: 10_100, usedAt: undefined })
    deployment.settingsChanges.push({ ...change, acknowledgedAt: undefined, usedAt: undefined })
    expect(brokenGuarantees()).to.deep.equal(Array.from({ length: 3 }, () => 'changed settings take effect in time'))
    disturb('killed', 'n0', 9_000, 9_500)
    expect(brokenGuarantees()).to.deep.equal([])
  })

  it('are violated if a planned stop cuts off a request that its node must have read', () => {
    disturb('stopping', 'n0', 10_000, 13_000)
    addRequest('a', 'read', { status: 0, sentAt: 11_000, endedAt: 11_400 }, [])
    addRequest('b', 'read', { status: 0, sentAt: 20_000, endedAt: 20_900 }, [])
    expect(brokenGuarantees()).to.deep.equal([])
    addRequest('c', 'pay', { status: 0, sentAt: 12_200, endedAt: 12_800 }, [])
    expect(brokenGuarantees()).to.deep.equal(['no request is lost in planned operations'])
  })

  describe('for requests whose callers have disconnected', () => {
    const UNREAD_CLOSE = 'a request does not start when its disconnect is already in a receive buffer'

    /** Records a caller that disconnects 40 ms after it sent its request; the run starts `startDelay` after the request was sent. */
    function addDisconnected (id: string, kind: RequestKind, startDelay: number, overrides: Partial<ICallerRecord> = {}): void {
      const sentAt = 10_000
      addRequest(id, kind, { status: 0, sentAt, endedAt: sentAt + 40, hasLeft: true, ...overrides }, [])
      const path = `/${kind}/usual/${id}`
      deployment.runs.set(id, [{ id, node: 'n1', path, service: serviceOf(kind), callerService: 'status', startedAt: sentAt + startDelay, abandonedAt: sentAt + startDelay + 10 }])
    }

    it('are violated if a request runs that was not sent completely', () => {
      addDisconnected('a', 'read', 5, { isWholeSent: false })
      expect(brokenGuarantees()).to.deep.equal(['an incomplete request does not run'])
    })

    it('are violated if a request runs that was unread at the suspended node of its caller together with the disconnect', () => {
      disturb('late', 'n0', 9_980, 10_300)
      addDisconnected('a', 'pay', 310)
      addDisconnected('b', 'read', 310)
      expect(brokenGuarantees()).to.deep.equal([UNREAD_CLOSE, UNREAD_CLOSE])
    })

    it('allow a run if the node may have read the request before it was suspended, or before the caller disconnected', () => {
      disturb('late', 'n0', 9_995, 10_030)
      disturb('late', 'n0', 20_000, 20_300)
      addDisconnected('a', 'pay', 35)
      addDisconnected('b', 'pay', 10_310, { sentAt: 19_990, endedAt: 20_040 })
      expect(brokenGuarantees()).to.deep.equal([])
    })

    it('are violated if a request runs whose disconnect had reached the suspended node of the endpoint, unless the other node delayed it', () => {
      disturb('late', 'n1', 10_010, 10_300)
      addDisconnected('a', 'pay', 310)
      expect(brokenGuarantees()).to.deep.equal([UNREAD_CLOSE])
      disturb('late', 'n0', 10_100, 10_200)
      expect(brokenGuarantees()).to.deep.equal([])
    })

    it('excuse a run after the disconnect if a link was disturbed, or if the disconnect arrived after the node of the endpoint had resumed', () => {
      disturb('late', 'n1', 10_010, 10_120)
      addDisconnected('a', 'pay', 130)
      expect(brokenGuarantees()).to.deep.equal([])
      disturb('late', 'n1', 10_125, 10_300)
      addDisconnected('b', 'pay', 310)
      expect(brokenGuarantees()).to.deep.equal([UNREAD_CLOSE])
      disturb('link', 'n1', 9_000, 9_500)
      expect(brokenGuarantees()).to.deep.equal([])
    })

    it('are violated if a non-idempotent request starts half a second after the disconnect, unless a node on its path was suspended', () => {
      addDisconnected('a', 'read', 700)
      expect(brokenGuarantees()).to.deep.equal([])
      addDisconnected('b', 'pay', 560)
      expect(brokenGuarantees()).to.deep.equal(['a non-idempotent request does not start after its caller has disconnected'])
      disturb('paused', 'n0', 8_000, 8_500)
      expect(brokenGuarantees()).to.deep.equal([])
    })
  })
})
