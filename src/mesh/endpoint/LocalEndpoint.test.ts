/** Reports that are delayed, repeated, reordered, or sent by another incarnation. */
import { expect } from 'chai'
import type { EndpointId, Milliseconds, NetworkAddress, ServiceName, Timestamp } from '../../common/Types.js'
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
    endpoint = new LocalEndpoint(new RecordingLog())
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
})
