/** Reports that are delayed, repeated, reordered, or sent by another incarnation. */
import { expect } from 'chai'
import type { EndpointId, Milliseconds, NetworkAddress, ServiceName, Timestamp } from '../../common/Types.js'
import { ANY_ENDPOINT } from '../../../testing/mesh/AnyEndpoint.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IEndpointReport } from '../Types.js'
import { LocalEndpoint } from './LocalEndpoint.js'

const NOW = 1_000 as Timestamp

function report (id: string, bornAt: number, sequence: number, phase: IEndpointReport['phase'] = 'serving', service = 's'): IEndpointReport {
  return {
    id: id as EndpointId,
    bornAt,
    sequence,
    phase,
    service: service as ServiceName,
    address: '10.0.0.1:80' as NetworkAddress,
    slots: 4,
    warmUpLeft: 0 as Milliseconds
  }
}

describe('LocalEndpoint', () => {
  let endpoint: LocalEndpoint
  let changes: string[]

  beforeEach(() => {
    endpoint = new LocalEndpoint({ authority: ANY_ENDPOINT, log: new RecordingLog() })
    changes = []
    endpoint.onChanged(({ id, phase, service }) => changes.push(`${id} ${service} ${phase}`))
  })

  it('accepts reports in order only, and never returns from draining to serving', () => {
    const outcomes = [
      endpoint.report(report('a', 1, 3), NOW),
      endpoint.report(report('a', 1, 2), NOW),
      endpoint.report(report('a', 1, 5, 'draining'), NOW),
      endpoint.report(report('a', 1, 4), NOW),
      endpoint.report(report('a', 1, 6), NOW)
    ]
    expect([outcomes, changes]).to.deep.equal([['accepted', 'outdated', 'accepted', 'outdated', 'accepted'], ['a s serving', 'a s draining']])
  })

  it('accepts a later incarnation with the same id, whose sequence numbers restart', () => {
    endpoint.report(report('a', 10, 50, 'draining'), NOW)
    endpoint.report(report('a', 20, 1), NOW)
    expect(endpoint.record).to.include({ bornAt: 20, phase: 'serving' })
  })

  it('ignores a delayed report and a delayed deregistration of an incarnation that has been replaced', () => {
    endpoint.report(report('b', 20, 1, 'serving', 'other'), NOW)
    expect([endpoint.report(report('a', 10, 99, 'draining'), NOW), endpoint.deregister('a' as EndpointId, 10, NOW)]).to.deep.equal(['outdated', 'outdated'])
    expect(endpoint.record).to.include({ id: 'b', phase: 'serving', service: 'other' })
  })

  it('accepts an incarnation with an earlier start time once the current one is unresponsive, as after a clock set back', () => {
    endpoint.report(report('b', 20, 1), NOW)
    const outcomes = [1_500, 3_000, 4_500, 6_000].map((passed, index) => endpoint.report(report('a', 10, index + 1), NOW + passed as Timestamp))
    expect([outcomes, endpoint.record?.id]).to.deep.equal([['outdated', 'outdated', 'outdated', 'accepted'], 'a'])
  })

  it('does not accept an incarnation with an earlier start time after a single delayed report', () => {
    endpoint.report(report('b', 20, 1), NOW)
    expect([endpoint.report(report('a', 10, 9), NOW + 9_000 as Timestamp), endpoint.record?.id]).to.deep.equal(['outdated', 'b'])
  })

  it('stays deregistered even if the endpoint keeps reporting', () => {
    endpoint.report(report('a', 1, 1), NOW)
    endpoint.deregister('a' as EndpointId, 0, NOW)
    endpoint.report(report('a', 1, 2), NOW)
    expect(endpoint.record?.phase).to.equal('gone')
  })

  it('does not revive an endpoint that deregistered before the row of an earlier process was read', () => {
    endpoint.deregister('a' as EndpointId, 0, NOW)
    endpoint.restore({ ...report('a', 1, 0), phase: 'serving' }, NOW)
    expect(endpoint.record?.phase).to.equal('gone')
  })

  it('keeps a later incarnation with the same id if its predecessor\'s delayed deregistration arrives before the stored row is read', () => {
    endpoint.deregister('a' as EndpointId, 10, NOW)
    endpoint.restore({ ...report('a', 20, 0), phase: 'serving' }, NOW)
    endpoint.report(report('a', 20, 7), NOW)
    expect([endpoint.record?.bornAt, endpoint.record?.phase]).to.deep.equal([20, 'serving'])
  })

  it('stays deregistered if the deregistration is the first message received, even if the endpoint keeps reporting', () => {
    endpoint.deregister('a' as EndpointId, 10, NOW)
    const outcome = endpoint.report(report('a', 10, 7), NOW)
    expect([outcome, endpoint.record?.phase]).to.deep.equal(['accepted', 'gone'])
    endpoint.report(report('a', 20, 1), NOW)
    expect(endpoint.record?.phase).to.equal('serving')
  })

  it('does not revive an endpoint that deregistered while an earlier one was known', () => {
    endpoint.restore({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.deregister('b' as EndpointId, 20, NOW)
    endpoint.restore({ ...report('b', 20, 0), phase: 'serving' }, NOW)
    endpoint.report(report('b', 20, 7), NOW)
    expect([endpoint.record?.id, endpoint.record?.phase]).to.deep.equal(['b', 'gone'])
  })

  it('adopts a drain from the row of an earlier process even after a report, but never a return to serving', () => {
    endpoint.report(report('a', 10, 1), NOW)
    endpoint.restore({ ...report('a', 10, 0), phase: 'draining' }, NOW)
    endpoint.restore({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.restore({ ...report('a', 5, 0), phase: 'gone' }, NOW)
    expect(endpoint.record?.phase).to.equal('draining')
  })

  it('is not serving until the endpoint reports if the report wait has expired, since the endpoint may have deregistered', () => {
    endpoint.restore({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.expireReportWait()
    endpoint.restore({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    const phases = [endpoint.record?.phase]
    endpoint.report(report('a', 10, 7), NOW)
    expect([...phases, endpoint.record?.phase]).to.deep.equal(['silent', 'serving'])
  })

  it('does not become serving from a row that is learnt after the report wait has expired', () => {
    endpoint.expireReportWait()
    endpoint.restore({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    expect(endpoint.record?.phase).to.equal('silent')
  })

  it('keeps serving when the report wait expires if the endpoint has reported before', () => {
    endpoint.restore({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.report(report('a', 10, 7), NOW)
    endpoint.expireReportWait()
    expect(endpoint.record?.phase).to.equal('serving')
  })

  it('adopts a deregistration that only an earlier process received, and keeps it despite later reports', () => {
    endpoint.report(report('a', 1, 5), NOW)
    endpoint.restore({ ...report('a', 1, 0), phase: 'gone' }, NOW)
    endpoint.report(report('a', 1, 6), NOW)
    expect([endpoint.record?.phase, changes]).to.deep.equal(['gone', ['a s serving', 'a s gone']])
  })

  it('adopts nothing from the row of an earlier process if it contains an earlier incarnation or an earlier phase', () => {
    endpoint.report(report('a', 2, 5, 'draining'), NOW)
    endpoint.restore({ ...report('a', 1, 0), phase: 'gone' }, NOW)
    endpoint.restore({ ...report('a', 2, 0), phase: 'serving' }, NOW)
    expect([endpoint.record?.bornAt, endpoint.record?.phase]).to.deep.equal([2, 'draining'])
  })

  it('uses the endpoint record of an earlier process until the endpoint reports to this process', () => {
    endpoint.restore({ ...report('a', 1, 0), phase: 'serving' }, NOW)
    expect(endpoint.reportedAt).to.equal(undefined)
    endpoint.report(report('a', 1, 1, 'draining'), NOW)
    endpoint.restore({ ...report('z', 1, 0), phase: 'serving' }, NOW)
    expect([endpoint.record?.id, endpoint.record?.phase, endpoint.reportedAt]).to.deep.equal(['a', 'draining', NOW])
  })

  /** Phases after reports of an incarnation at these times, in milliseconds after `NOW`. */
  function phasesAfterReports (bornAt: number, firstSequence: number, times: readonly number[]): Array<string | undefined> {
    return times.map((time, index) => {
      endpoint.report(report('a', bornAt, firstSequence + index), NOW + time as Timestamp)
      return endpoint.record?.phase
    })
  }

  // Guards against an acknowledged deregistration without effect: the endpoint had started again, and its first report was late.
  it('gets no requests once a later incarnation with the same id deregisters before its first report', () => {
    endpoint.report(report('a', 10, 5), NOW)
    const outcome = endpoint.deregister('a' as EndpointId, 20, NOW)
    expect([outcome, endpoint.record?.phase, endpoint.isDoubted]).to.deep.equal(['accepted', 'silent', true])
    endpoint.report(report('a', 20, 1), NOW)
    expect([endpoint.record?.bornAt, endpoint.record?.phase]).to.deep.equal([20, 'gone'])
    endpoint.report(report('a', 30, 1), NOW)
    expect([endpoint.record?.phase, endpoint.isDoubted]).to.deep.equal(['serving', false])
  })

  // Guards against the same where the clock was set back between two starts, so that the later incarnation seems to be the earlier one.
  it('gets no requests once an incarnation with the same id and an earlier start time deregisters', () => {
    endpoint.report(report('a', 20, 1), NOW)
    endpoint.report(report('a', 10, 1), NOW)
    const outcome = endpoint.deregister('a' as EndpointId, 10, NOW)
    expect([outcome, endpoint.record?.phase]).to.deep.equal(['accepted', 'silent'])
    // Further reports of the one that has left: the other one is silent, so they supersede it, and it stays deregistered.
    expect(phasesAfterReports(10, 2, [1_500, 3_000, 5_000, 6_500])).to.deep.equal(['silent', 'silent', 'gone', 'gone'])
    endpoint.report(report('a', 15, 1), NOW + 20_000 as Timestamp)
    endpoint.report(report('a', 15, 2), NOW + 21_500 as Timestamp)
    expect(endpoint.record).to.include({ bornAt: 15, phase: 'serving' })
  })

  it('gets no requests once an incarnation with the same id and an earlier start time reports that it drains', () => {
    endpoint.report(report('a', 20, 1), NOW)
    expect([endpoint.report(report('a', 10, 3, 'draining'), NOW), endpoint.record?.phase]).to.deep.equal(['accepted', 'silent'])
  })

  it('gets requests again within two heartbeats after five seconds if the message of the other incarnation was a late one', () => {
    for (const leave of [
      () => endpoint.deregister('a' as EndpointId, 10, NOW), () => endpoint.report(report('a', 10, 3, 'draining'), NOW), () => endpoint.deregister('a' as EndpointId, 25, NOW)
    ]) {
      endpoint = new LocalEndpoint({ authority: ANY_ENDPOINT, log: new RecordingLog() })
      endpoint.report(report('a', 20, 1), NOW)
      leave()
      expect(phasesAfterReports(20, 2, [1_500, 3_000, 4_500, 6_000])).to.deep.equal(['silent', 'silent', 'silent', 'serving'])
      expect(endpoint.isDoubted).to.equal(false)
    }
  })

  it('gets requests at once if a later incarnation that has not deregistered reports while the known one is doubted', () => {
    endpoint.report(report('a', 10, 5), NOW)
    endpoint.deregister('a' as EndpointId, 20, NOW)
    expect([endpoint.report(report('a', 30, 1), NOW), endpoint.record?.phase, endpoint.isDoubted]).to.deep.equal(['accepted', 'serving', false])
  })

  it('gets no requests from a single late report of an incarnation that is doubted, nor from a repeated one', () => {
    endpoint.report(report('a', 10, 5), NOW)
    endpoint.deregister('a' as EndpointId, 20, NOW)
    endpoint.report(report('a', 10, 6), NOW + 7_000 as Timestamp)
    endpoint.report(report('a', 10, 6), NOW + 8_000 as Timestamp)
    endpoint.report(report('a', 10, 4), NOW + 9_000 as Timestamp)
    expect(endpoint.record?.phase).to.equal('silent')
  })

  it('drains although the report of it arrives after a later one, and stays deregistered despite it', () => {
    endpoint.report(report('a', 10, 5), NOW)
    expect([endpoint.report(report('a', 10, 4, 'draining'), NOW), endpoint.record?.phase]).to.deep.equal(['accepted', 'draining'])
    endpoint.deregister('a' as EndpointId, 10, NOW)
    expect([endpoint.report(report('a', 10, 3, 'draining'), NOW), endpoint.record?.phase]).to.deep.equal(['outdated', 'gone'])
  })

  it('stays deregistered if other incarnations deregister afterwards', () => {
    endpoint.report(report('z', 50, 1), NOW)
    for (const bornAt of [30, 20, 10]) endpoint.deregister('a' as EndpointId, bornAt, NOW)
    endpoint.report(report('a', 30, 8), NOW + 6_000 as Timestamp)
    endpoint.report(report('a', 30, 9), NOW + 7_500 as Timestamp)
    expect([endpoint.record?.id, endpoint.record?.phase]).to.deep.equal(['a', 'gone'])
  })

  it('is not affected by a deregistration of an endpoint with another id', () => {
    endpoint.report(report('a', 20, 1), NOW)
    const outcomes = [0, 10, 30].map((bornAt) => endpoint.deregister('b' as EndpointId, bornAt, NOW))
    expect([outcomes, endpoint.record?.phase]).to.deep.equal([['outdated', 'outdated', 'outdated'], 'serving'])
  })

  it('keeps a drain of the known incarnation when another one with the same id leaves', () => {
    endpoint.report(report('a', 20, 1, 'draining'), NOW)
    expect([endpoint.deregister('a' as EndpointId, 10, NOW), endpoint.record?.phase]).to.deep.equal(['accepted', 'draining'])
  })
})
