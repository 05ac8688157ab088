/** Reports that come late, twice, out of order, or of another incarnation. */
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

  it('takes reports in order only, and never goes back from draining', () => {
    const outcomes = [
      endpoint.report(report('a', 1, 3), NOW),
      endpoint.report(report('a', 1, 2), NOW),
      endpoint.report(report('a', 1, 5, 'draining'), NOW),
      endpoint.report(report('a', 1, 4), NOW),
      endpoint.report(report('a', 1, 6), NOW)
    ]
    expect([outcomes, changes]).to.deep.equal([['accepted', 'outdated', 'accepted', 'outdated', 'accepted'], ['a s serving', 'a s draining']])
  })

  it('takes a later incarnation under the same id, whose counts start anew', () => {
    endpoint.report(report('a', 10, 50, 'draining'), NOW)
    endpoint.report(report('a', 20, 1), NOW)
    expect(endpoint.record).to.include({ bornAt: 20, phase: 'serving' })
  })

  it('ignores the late report and the late end of an incarnation that another one has replaced', () => {
    endpoint.report(report('b', 20, 1, 'serving', 'other'), NOW)
    expect([endpoint.report(report('a', 10, 99, 'draining'), NOW), endpoint.leave('a' as EndpointId, 10, NOW)]).to.deep.equal(['outdated', 'outdated'])
    expect(endpoint.record).to.include({ id: 'b', phase: 'serving', service: 'other' })
  })

  it('takes an incarnation of an earlier birth once the present one is silent, since a clock may have been set back', () => {
    endpoint.report(report('b', 20, 1), NOW)
    const outcomes = [1_500, 3_000, 4_500, 6_000].map((passed, index) => endpoint.report(report('a', 10, index + 1), NOW + passed as Timestamp))
    expect([outcomes, endpoint.record?.id]).to.deep.equal([['outdated', 'outdated', 'outdated', 'accepted'], 'a'])
  })

  it('does not take a single late report for that', () => {
    endpoint.report(report('b', 20, 1), NOW)
    expect([endpoint.report(report('a', 10, 9), NOW + 9_000 as Timestamp), endpoint.record?.id]).to.deep.equal(['outdated', 'b'])
  })

  it('is gone for good once it has deregistered, also if it goes on reporting', () => {
    endpoint.report(report('a', 1, 1), NOW)
    endpoint.leave('a' as EndpointId, 0, NOW)
    endpoint.report(report('a', 1, 2), NOW)
    expect(endpoint.record?.phase).to.equal('gone')
  })

  it('does not revive an endpoint that deregistered before the row of an earlier process was read', () => {
    endpoint.leave('a' as EndpointId, 0, NOW)
    endpoint.adopt({ ...report('a', 1, 0), phase: 'serving' }, NOW)
    expect(endpoint.record?.phase).to.equal('gone')
  })

  it('keeps a later incarnation under the same id whose predecessor deregistered late, before the row of an earlier process was read', () => {
    endpoint.leave('a' as EndpointId, 10, NOW)
    endpoint.adopt({ ...report('a', 20, 0), phase: 'serving' }, NOW)
    endpoint.report(report('a', 20, 7), NOW)
    expect([endpoint.record?.bornAt, endpoint.record?.phase]).to.deep.equal([20, 'serving'])
  })

  it('is gone for good once it has deregistered before anything else was known of it, also if it goes on reporting', () => {
    endpoint.leave('a' as EndpointId, 10, NOW)
    const outcome = endpoint.report(report('a', 10, 7), NOW)
    expect([outcome, endpoint.record?.phase]).to.deep.equal(['accepted', 'gone'])
    endpoint.report(report('a', 20, 1), NOW)
    expect(endpoint.record?.phase).to.equal('serving')
  })

  it('does not revive an endpoint that deregistered while an earlier one was known', () => {
    endpoint.adopt({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.leave('b' as EndpointId, 20, NOW)
    endpoint.adopt({ ...report('b', 20, 0), phase: 'serving' }, NOW)
    endpoint.report(report('b', 20, 7), NOW)
    expect([endpoint.record?.id, endpoint.record?.phase]).to.deep.equal(['b', 'gone'])
  })

  it('takes a drain from the row of an earlier process also after a report, and never the return from one', () => {
    endpoint.report(report('a', 10, 1), NOW)
    endpoint.adopt({ ...report('a', 10, 0), phase: 'draining' }, NOW)
    endpoint.adopt({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.adopt({ ...report('a', 5, 0), phase: 'gone' }, NOW)
    expect(endpoint.record?.phase).to.equal('draining')
  })

  it('gives an endpoint that has not reported in time no requests until it does, since it may have left before', () => {
    endpoint.adopt({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.endWait()
    endpoint.adopt({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    const phases = [endpoint.record?.phase]
    endpoint.report(report('a', 10, 7), NOW)
    expect([...phases, endpoint.record?.phase]).to.deep.equal(['silent', 'serving'])
  })

  it('does not take an endpoint into service from a row that is learnt after the wait for its report', () => {
    endpoint.endWait()
    endpoint.adopt({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    expect(endpoint.record?.phase).to.equal('silent')
  })

  it('keeps an endpoint that has reported in time', () => {
    endpoint.adopt({ ...report('a', 10, 0), phase: 'serving' }, NOW)
    endpoint.report(report('a', 10, 7), NOW)
    endpoint.endWait()
    expect(endpoint.record?.phase).to.equal('serving')
  })

  it('keeps to a leaving that an earlier process was told of and this one was not', () => {
    endpoint.report(report('a', 1, 5), NOW)
    endpoint.adopt({ ...report('a', 1, 0), phase: 'gone' }, NOW)
    endpoint.report(report('a', 1, 6), NOW)
    expect([endpoint.record?.phase, changes]).to.deep.equal(['gone', ['a s serving', 'a s gone']])
  })

  it('takes nothing from the row of an earlier process that tells of another incarnation, or of an earlier phase', () => {
    endpoint.report(report('a', 2, 5, 'draining'), NOW)
    endpoint.adopt({ ...report('a', 1, 0), phase: 'gone' }, NOW)
    endpoint.adopt({ ...report('a', 2, 0), phase: 'serving' }, NOW)
    expect([endpoint.record?.bornAt, endpoint.record?.phase]).to.deep.equal([2, 'draining'])
  })

  it('goes on with the endpoint of an earlier process until it reports itself', () => {
    endpoint.adopt({ ...report('a', 1, 0), phase: 'serving' }, NOW)
    expect(endpoint.heardAt).to.equal(undefined)
    endpoint.report(report('a', 1, 1, 'draining'), NOW)
    endpoint.adopt({ ...report('z', 1, 0), phase: 'serving' }, NOW)
    expect([endpoint.record?.id, endpoint.record?.phase, endpoint.heardAt]).to.deep.equal(['a', 'draining', NOW])
  })
})
