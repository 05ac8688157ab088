/** Each promise of the soak is found broken where it is, and where an excuse ends. */
import { expect } from 'chai'
import { Promises } from './Promises.js'
import { SoakDeployment, versionPrefix } from './SoakDeployment.js'
import type { DisruptionKind, ICallerRecord, RequestKind } from './Types.js'

const CALM_FROM = 100_000

describe('Promises of the soak', () => {
  let deployment: SoakDeployment

  beforeEach(() => {
    deployment = new SoakDeployment()
    answer('afterwards', 'read', { status: 200, sentAt: CALM_FROM + 1 }, ['n1'])
  })

  /** A request and its runs, one at each of `nodes`; whole and signed by the first unless told otherwise. */
  function answer (id: string, kind: RequestKind, seen: Partial<ICallerRecord>, nodes: readonly string[]): void {
    const path = seen.path ?? `/${kind}/usual/${id}`
    const sentAt = seen.sentAt ?? 10_000
    const signature = seen.status === 200 ? `by i-${nodes[0] ?? 'n1'}.1` : ''
    deployment.answers.push({
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
      ...seen
    })
    deployment.runs.set(id, nodes.map((node) => ({ id, node, path, startedAt: sentAt + 5, abandonedAt: undefined })))
  }

  function disturb (kind: DisruptionKind, subject: string, from: number, until: number): void {
    deployment.disruptions.begin(kind, subject, from)(until)
  }

  function broken (): readonly string[] {
    return new Promises(deployment).check(CALM_FROM).map(({ promise }) => promise)
  }

  it('are kept by whole answers and true refusals', () => {
    answer('a', 'read', { status: 200 }, ['n1'])
    answer('b', 'pay', { status: 503, retryAfter: 0.2 }, [])
    expect(broken()).to.deep.equal([])
  })

  it('are not kept by a request that ran twice, or ran though it was refused, or was refused without a time', () => {
    answer('a', 'pay', { status: 200 }, ['n1', 'n2'])
    answer('b', 'pay', { status: 503, retryAfter: 0.2 }, ['n1'])
    answer('c', 'read', { status: 429 }, [])
    expect(broken()).to.deep.equal(['never twice', 'a refusal is true', 'a refusal tells when to return'])
  })

  it('are not kept by an answer to another request, in part, or by an endpoint that did not run it', () => {
    answer('a', 'read', { status: 200, body: 'answer to /read/other' }, ['n1'])
    answer('b', 'read', { status: 200, signature: 'by i-n7.1' }, ['n1'])
    expect(broken()).to.deep.equal(Array.from({ length: 2 }, () => 'an answer is whole and for its request'))
  })

  it('excuse a lost request by a killed node, not by a planned stop', () => {
    answer('a', 'read', { status: 0 }, ['n1'])
    answer('b', 'read', { status: 0, sentAt: 20_000 }, ['n2'])
    disturb('stopping', 'n0', 9_000, 11_000)
    disturb('killed', 'n2', 19_000, 21_000)
    expect(broken()).to.deep.equal(['no request is lost in planned work'])
  })

  it('excuse a request that is cut in the last sixth of the time for a stop, not earlier', () => {
    disturb('stopping', 'n0', 10_000, 13_000)
    answer('a', 'read', { status: 0, sentAt: 11_600, endedAt: 12_600 }, ['n1'])
    expect(broken()).to.deep.equal([])
    answer('b', 'read', { status: 0, sentAt: 11_500, endedAt: 12_400 }, ['n1'])
    expect(broken()).to.deep.equal(['no request is lost in planned work'])
  })

  it('are not kept by an answer that is held, unless its node was paused', () => {
    answer('a', 'read', { status: 504, endedAt: 12_600 }, ['n1'])
    answer('b', 'read', { status: 504, sentAt: 30_000, endedAt: 32_600 }, ['n1'])
    disturb('paused', 'n0', 31_000, 32_000)
    expect(broken()).to.deep.equal(['a final answer comes in time'])
  })

  it('are not kept by a configuration that is late or goes back in one process', () => {
    const probe = (version: number): Partial<ICallerRecord> => ({ path: `${versionPrefix(version)}usual/x` })
    deployment.versions.set(3, 10_000)
    answer('a', 'probe', { ...probe(3), status: 404, sentAt: 15_100 }, [])
    expect(broken()).to.deep.equal(['a confirmed configuration is in force in time'])
    disturb('store', '*', 12_000, 13_000)
    expect(broken()).to.deep.equal([])
    answer('b', 'probe', { ...probe(4), status: 200, sentAt: 14_000 }, ['n1'])
    expect(broken()).to.deep.equal(['a configuration never goes back'])
  })

  it('are not kept by work at an endpoint that drains, or by a service that does not return', () => {
    deployment.drains.push({ node: 'n1', from: 9_000, until: 12_000 })
    answer('a', 'read', { status: 200 }, ['n1'])
    answer('b', 'read', { status: 503, retryAfter: 1, sentAt: CALM_FROM + 10 }, [])
    expect(broken()).to.deep.equal(['nothing begins at an endpoint that drains', 'full service after the faults'])
  })

  it('are not kept by a request that a planned stop ends though its node must have read it', () => {
    disturb('stopping', 'n0', 10_000, 13_000)
    answer('a', 'read', { status: 0, sentAt: 11_000, endedAt: 11_400 }, [])
    answer('b', 'read', { status: 0, sentAt: 20_000, endedAt: 20_900 }, [])
    expect(broken()).to.deep.equal([])
    answer('c', 'pay', { status: 0, sentAt: 12_200, endedAt: 12_800 }, [])
    expect(broken()).to.deep.equal(['no request is lost in planned work'])
  })

  describe('to callers that have left', () => {
    const UNREAD = 'nothing begins whose close lay unread beside it'

    /** A caller that leaves 40 ms after it sent; the run begins `begunAfter` it sent. */
    function left (id: string, kind: RequestKind, begunAfter: number, seen: Partial<ICallerRecord> = {}): void {
      const sentAt = 10_000
      answer(id, kind, { status: 0, sentAt, endedAt: sentAt + 40, hasLeft: true, ...seen }, [])
      const path = `/${kind}/usual/${id}`
      deployment.runs.set(id, [{ id, node: 'n1', path, startedAt: sentAt + begunAfter, abandonedAt: sentAt + begunAfter + 10 }])
    }

    it('are not kept by a run of what was not sent whole', () => {
      left('a', 'read', 5, { isWholeSent: false })
      expect(broken()).to.deep.equal(['nothing runs that was not sent whole'])
    })

    it('are not kept by a run of what lay unread at the node of its caller together with its close', () => {
      disturb('late', 'n0', 9_980, 10_300)
      left('a', 'pay', 310)
      left('b', 'read', 310)
      expect(broken()).to.deep.equal([UNREAD, UNREAD])
    })

    it('allow a run of what may have been read before its node was suspended, or before its caller left', () => {
      disturb('late', 'n0', 9_995, 10_030)
      disturb('late', 'n0', 20_000, 20_300)
      left('a', 'pay', 35)
      left('b', 'pay', 10_310, { sentAt: 19_990, endedAt: 20_040 })
      expect(broken()).to.deep.equal([])
    })

    it('are not kept by a run whose close came to the suspended node of the endpoint, unless a link or the other node held it', () => {
      disturb('late', 'n1', 10_010, 10_300)
      left('a', 'pay', 310)
      expect(broken()).to.deep.equal([UNREAD])
      disturb('late', 'n0', 10_100, 10_200)
      expect(broken()).to.deep.equal([])
    })

    it('excuse such a run by the links between the two, and by a close that came as the process ran on', () => {
      disturb('late', 'n1', 10_010, 10_120)
      left('a', 'pay', 130)
      expect(broken()).to.deep.equal([])
      disturb('late', 'n1', 10_125, 10_300)
      left('b', 'pay', 310)
      expect(broken()).to.deep.equal([UNREAD])
      disturb('link', 'n1', 9_000, 9_500)
      expect(broken()).to.deep.equal([])
    })

    it('are not kept by a run of what may run once half a second later, unless a node on the way was suspended', () => {
      left('a', 'read', 700)
      expect(broken()).to.deep.equal([])
      left('b', 'pay', 560)
      expect(broken()).to.deep.equal(['what may run once does not begin after its caller has left'])
      disturb('paused', 'n0', 8_000, 8_500)
      expect(broken()).to.deep.equal([])
    })
  })
})
