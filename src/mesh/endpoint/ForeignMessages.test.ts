/** Guards against UNASKED: messages that do not describe the endpoint of the VM must leave no trace in what its node believes. */
import { expect } from 'chai'
import fc from 'fast-check'
import type { EndpointId, Milliseconds, NetworkAddress, ServiceName, Timestamp } from '../../common/Types.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { IConfigurationService } from '../Services.js'
import type { EndpointPlace, IEndpointReport } from '../Types.js'
import { EndpointAuthority, type IExpectedEndpoint } from './EndpointAuthority.js'
import { LocalEndpoint } from './LocalEndpoint.js'
import { localServiceOf } from './LocalService.js'

const NOW = 1_000
const SEED = 42
const RUNS = 300
const SERVICE = 's' as ServiceName
const ADDRESS = '10.0.0.1:80' as NetworkAddress
const NO_CONFIGURATION: Pick<IConfigurationService, 'current'> = { current: undefined }
const KNOWN_SERVICE = {
  current: { configuration: { services: new Map([[SERVICE, { name: SERVICE, connections: 4 }]]) } }
} as unknown as IConfigurationService

/** One message or event at a node, at a time after `NOW` in milliseconds. */
type Step = (endpoint: LocalEndpoint, now: Timestamp) => unknown

function report (id: string, bornAt: number, sequence: number, parts: Partial<IEndpointReport> = {}): IEndpointReport {
  return { id: id as EndpointId, bornAt, sequence, service: SERVICE, address: ADDRESS, slots: 4, phase: 'serving', warmUpLeft: 0 as Milliseconds, ...parts }
}

function heartbeat (id: string, bornAt: number, sequence: number, parts?: Partial<IEndpointReport>): Step {
  return (endpoint, now) => endpoint.report(report(id, bornAt, sequence, parts), now)
}

function drain (id: string, bornAt: number, sequence: number): Step {
  return heartbeat(id, bornAt, sequence, { phase: 'draining' })
}

function deregistration (id: string, bornAt: number): Step {
  return (endpoint, now) => endpoint.deregister(id as EndpointId, bornAt, now)
}

function restart (id: string, bornAt: number): Step {
  return (endpoint, now) => endpoint.restore(report(id, bornAt, 0), now)
}

const FOREIGN = { service: 'xa0de93' as ServiceName, slots: 2 }
const ELSEWHERE = { address: '10.0.0.9:80' as NetworkAddress }

const FOREIGN_STEPS: Readonly<Record<string, Step>> = {
  'another service': heartbeat('x', 9, 1, FOREIGN),
  'another service, same id': heartbeat('a', 10, 1_000, FOREIGN),
  'another service, same id, later start': heartbeat('a', 1_000, 1, FOREIGN),
  'another service, same id, earlier start': heartbeat('a', 1, 1_000, FOREIGN),
  'another service, same id, no start time': heartbeat('a', 0, 1_000, FOREIGN),
  'another service that drains': heartbeat('a', 10, 1_000, { ...FOREIGN, phase: 'draining' }),
  'another service that drains, earlier start': heartbeat('a', 1, 1, { ...FOREIGN, phase: 'draining' }),
  'another address': heartbeat('a', 10, 1_000, ELSEWHERE),
  'another address, later start': heartbeat('y', 1_000, 1, ELSEWHERE),
  'a stored row with another service': (endpoint, now) => endpoint.restore(report('a', 1_000, 0, FOREIGN), now),
  'a stored row with another service that drains': (endpoint, now) => endpoint.restore({ ...report('a', 10, 0, FOREIGN), phase: 'gone' }, now)
}

/** The rows of the table "Incarnations of an endpoint" in docs/DESIGN.md; each step is one heartbeat of 1.5 s after the one before. */
const ROWS: Readonly<Record<string, readonly Step[]>> = {
  1: [heartbeat('a', 10, 1)],
  2: [deregistration('a', 10), heartbeat('a', 10, 2)],
  3: [heartbeat('a', 10, 1), heartbeat('a', 10, 2), drain('a', 10, 3), heartbeat('a', 10, 4)],
  4: [heartbeat('a', 10, 5), heartbeat('a', 10, 5), heartbeat('a', 10, 4), drain('a', 10, 3)],
  5: [heartbeat('a', 10, 1), deregistration('a', 10), heartbeat('a', 10, 2)],
  6: [heartbeat('a', 10, 5), heartbeat('b', 20, 1)],
  7: [heartbeat('a', 10, 5), deregistration('a', 20), heartbeat('a', 20, 1)],
  8: [heartbeat('a', 20, 5), drain('a', 10, 9), deregistration('a', 10)],
  9: [heartbeat('a', 20, 5), heartbeat('a', 10, 1), heartbeat('a', 20, 6)],
  10: [heartbeat('a', 20, 1), ...[1, 2, 3, 4, 5].map((sequence) => heartbeat('a', 10, sequence))],
  11: [heartbeat('a', 10, 1), deregistration('a', 20), ...[2, 3, 4, 5, 6].map((sequence) => heartbeat('a', 10, sequence))],
  12: [heartbeat('a', 10, 1), deregistration('a', 20), heartbeat('a', 20, 1)],
  13: [heartbeat('a', 10, 1), deregistration('a', 20), heartbeat('a', 30, 1)],
  14: [heartbeat('a', 10, 1), deregistration('b', 20), drain('c', 5, 1), heartbeat('a', 10, 2)],
  'restart with the stored row': [restart('a', 10), (endpoint) => endpoint.expireReportWait(), heartbeat('a', 10, 3)]
}

const HEARTBEAT_MS = 1_500

/** What a node answers to each step and believes after it. `foreign` are sent before, between and after the steps, each twice. */
function beliefs (steps: readonly Step[], foreign: readonly Step[]): unknown[] {
  const authority = new EndpointAuthority({ expected: () => ({ service: SERVICE, address: ADDRESS }), configuration: NO_CONFIGURATION })
  const endpoint = new LocalEndpoint({ authority, log: new RecordingLog() })
  const changes: unknown[] = []
  endpoint.onChanged((record) => changes.push(record))
  const sendForeign = (now: Timestamp): void => { for (const step of [...foreign, ...foreign]) step(endpoint, now) }
  sendForeign(NOW as Timestamp)
  return steps.map((step, index) => {
    const now = NOW + index * HEARTBEAT_MS as Timestamp
    const answer = step(endpoint, now)
    sendForeign(now + 1 as Timestamp)
    const { record, reportedAt, isDoubted } = endpoint
    return { answer, record, reportedAt, isDoubted, changes: [...changes], service: localServiceOf(SERVICE, endpoint) }
  })
}

describe('Messages that do not describe the endpoint of the VM', () => {
  for (const [row, steps] of Object.entries(ROWS)) {
    it(`leave no trace before, between and after the messages of row ${row}`, () => {
      const expected = beliefs(steps, [])
      for (const [description, foreign] of Object.entries(FOREIGN_STEPS)) {
        expect(beliefs(steps, [foreign]), description).to.deep.equal(expected)
      }
      expect(beliefs(steps, Object.values(FOREIGN_STEPS))).to.deep.equal(expected)
    })
  }

  it('leave no trace in any order of messages', () => {
    const message = fc.tuple(fc.constantFrom('a', 'b'), fc.constantFrom(0, 5, 10, 20), fc.nat(9), fc.nat(3)).map(([id, bornAt, sequence, kind]) => {
      return [heartbeat(id, bornAt, sequence), drain(id, bornAt, sequence), deregistration(id, bornAt), restart(id, bornAt)][kind] as Step
    })
    const foreign = fc.array(fc.constantFrom(...Object.values(FOREIGN_STEPS)), { minLength: 1, maxLength: 4 })
    fc.assert(fc.property(fc.array(message, { minLength: 1, maxLength: 12 }), foreign, (steps, others) => {
      expect(beliefs(steps, others)).to.deep.equal(beliefs(steps, []))
    }), { seed: SEED, numRuns: RUNS })
  })

  it('are answered as foreign, also without a start time while the endpoint reports one', () => {
    const authority = new EndpointAuthority({ expected: () => ({ service: SERVICE }), configuration: NO_CONFIGURATION })
    const endpoint = new LocalEndpoint({ authority, log: new RecordingLog() })
    const at = (time: number, sent: IEndpointReport): unknown => endpoint.report(sent, NOW + time as Timestamp)
    const answers = [
      at(0, report('a', 0, 1)), at(0, report('a', 10, 2)), at(1_500, report('a', 0, 3)), at(1_500, report('b', 0, 3)),
      at(1_500, report('x', 20, 1, FOREIGN)), at(7_000, report('b', 0, 4))
    ]
    expect(answers).to.deep.equal(['accepted', 'accepted', 'foreign', 'foreign', 'foreign', 'accepted'])
  })
})

describe('A message without the start time that the endpoint states', () => {
  let endpoint: LocalEndpoint

  beforeEach(() => {
    const authority = new EndpointAuthority({ expected: () => ({ service: SERVICE }), configuration: NO_CONFIGURATION })
    endpoint = new LocalEndpoint({ authority, log: new RecordingLog() })
  })

  function send (time: number, step: Step): unknown {
    return step(endpoint, NOW + time as Timestamp)
  }

  it('before the first report gives way to the next one of the endpoint, whatever its sequence number and phase', () => {
    send(0, drain('a', 0, 1_000))
    expect([send(1_500, heartbeat('a', 10, 1)), endpoint.record?.bornAt, endpoint.record?.phase]).to.deep.equal(['accepted', 10, 'serving'])
    expect([send(3_000, heartbeat('a', 10, 2)), endpoint.record?.phase]).to.deep.equal(['accepted', 'serving'])
  })

  it('after a restart of the node is refused while the endpoint of the stored row may still report', () => {
    send(0, restart('a', 10))
    expect([send(100, drain('a', 0, 1_000)), send(1_000, heartbeat('a', 10, 4)), endpoint.record?.phase]).to.deep.equal(['foreign', 'accepted', 'serving'])
  })

  it('after five seconds of silence gives way to the next report of the endpoint', () => {
    send(0, heartbeat('a', 10, 1))
    const answers = [send(5_000, heartbeat('a', 0, 1_000, { slots: 1 })), send(6_500, heartbeat('a', 10, 2))]
    expect([answers, endpoint.record?.slots, endpoint.record?.phase]).to.deep.equal([['accepted', 'accepted'], 4, 'serving'])
  })

  it('does not bring back an endpoint that has deregistered', () => {
    send(0, heartbeat('a', 0, 1_000))
    send(1, deregistration('a', 0))
    send(2, heartbeat('a', 10, 3))
    expect(endpoint.record?.phase).to.equal('gone')
  })

  it('in the stored row does not deregister the endpoint', () => {
    send(0, heartbeat('a', 10, 1))
    send(1, (local, now) => local.restore({ ...report('a', 0, 0), phase: 'gone' }, now))
    expect(endpoint.record?.phase).to.equal('serving')
  })

  it('is accepted from the successor of an endpoint that has deregistered', () => {
    send(0, heartbeat('a', 10, 1))
    send(1_000, deregistration('a', 10))
    expect([send(2_500, heartbeat('b', 0, 1)), endpoint.record?.id]).to.deep.equal(['accepted', 'b'])
  })
})

describe('The true endpoint', () => {
  const OTHER = 'other' as ServiceName
  let expected: IExpectedEndpoint
  let configuration: Pick<IConfigurationService, 'current'>
  let endpoint: LocalEndpoint

  beforeEach(() => {
    expected = { service: SERVICE }
    configuration = KNOWN_SERVICE
    const faultOf = (place: EndpointPlace, isInUse: boolean): string | undefined => {
      return new EndpointAuthority({ expected: () => expected, configuration }).faultOf(place, isInUse)
    }
    endpoint = new LocalEndpoint({ authority: { faultOf }, log: new RecordingLog() })
  })

  it('replaces one that changed settings contradict with its first report, although its start time is earlier', () => {
    endpoint.report(report('a', 1_000, 5), NOW as Timestamp)
    expected = { service: OTHER }
    endpoint.applySettings()
    expect([endpoint.isDoubted, endpoint.report(report('b', 500, 1, { service: OTHER }), NOW as Timestamp)]).to.deep.equal([true, 'accepted'])
    expect([endpoint.record?.id, endpoint.record?.phase, endpoint.isDoubted]).to.deep.equal(['b', 'serving', false])
  })

  it('replaces one that changed settings contradict although it has the same ID, no start time and a lower sequence number', () => {
    endpoint.report(report('a', 0, 50), NOW as Timestamp)
    expected = { service: OTHER }
    endpoint.applySettings()
    endpoint.report(report('a', 0, 1, { service: OTHER }), NOW as Timestamp)
    expect([endpoint.record?.service, endpoint.record?.phase]).to.deep.equal([OTHER, 'serving'])
  })

  it('drains although the configuration no longer has its service and the settings name none', () => {
    expected = {}
    endpoint.report(report('a', 10, 1), NOW as Timestamp)
    configuration = { current: { configuration: { services: new Map() } } } as unknown as IConfigurationService
    const answers = [endpoint.report(report('a', 10, 2, { phase: 'draining' }), NOW as Timestamp), endpoint.report(report('b', 20, 1), NOW as Timestamp)]
    expect([answers, endpoint.record?.phase]).to.deep.equal([['accepted', 'foreign'], 'draining'])
  })

  it('stays deregistered although one deregistration of another endpoint is repeated many times', () => {
    endpoint.report(report('z', 50, 1), NOW as Timestamp)
    endpoint.deregister('a' as EndpointId, 60, NOW as Timestamp)
    for (let count = 0; count < 16; count++) endpoint.deregister('b' as EndpointId, 70, NOW as Timestamp)
    endpoint.report(report('a', 60, 8), NOW as Timestamp)
    expect([endpoint.record?.id, endpoint.record?.phase]).to.deep.equal(['a', 'gone'])
  })
})

describe('EndpointAuthority', () => {
  /** Whether a report of `service` is accepted. */
  function isAccepted (service: string, expected: IExpectedEndpoint, configuration: Pick<IConfigurationService, 'current'>): boolean {
    const authority = new EndpointAuthority({ expected: () => expected, configuration })
    return authority.faultOf({ service: service as ServiceName, address: ADDRESS }, false) === undefined
  }

  it('accepts a service that the settings name although the configuration does not', () => {
    expect(['new', 's'].map((service) => isAccepted(service, { service: 'new' as ServiceName }, KNOWN_SERVICE))).to.deep.equal([true, false])
  })

  it('accepts only services of the configuration if the settings name none, and none before the configuration is known', () => {
    expect([isAccepted('s', {}, KNOWN_SERVICE), isAccepted('xa0de93', {}, KNOWN_SERVICE), isAccepted('s', {}, NO_CONFIGURATION)]).to.deep.equal([true, false, false])
  })

  it('lets changed settings withdraw the endpoint, and use it again once it reports in accordance with them', () => {
    let expected: IExpectedEndpoint = { service: SERVICE }
    const authority = new EndpointAuthority({ expected: () => expected, configuration: NO_CONFIGURATION })
    const endpoint = new LocalEndpoint({ authority, log: new RecordingLog() })
    const phases: unknown[] = []
    const apply = (service: string): void => {
      expected = { service: service as ServiceName }
      endpoint.applySettings()
      phases.push(endpoint.record?.phase)
    }
    endpoint.report(report('a', 10, 1), NOW as Timestamp)
    apply('s')
    apply('other')
    phases.push(endpoint.report(report('a', 10, 2), NOW as Timestamp))
    phases.push(endpoint.report(report('b', 20, 1, { service: 'other' as ServiceName }), NOW as Timestamp), endpoint.record?.phase)
    apply('s')
    phases.push(endpoint.report(report('c', 30, 1), NOW as Timestamp), endpoint.record?.phase)
    expect(phases).to.deep.equal(['serving', 'silent', 'foreign', 'accepted', 'serving', 'silent', 'accepted', 'serving'])
  })
})

describe('The caller service', () => {
  const unnamed = new EndpointAuthority({ expected: () => ({}), configuration: KNOWN_SERVICE })

  it('is that of the settings, else that of the endpoint, and unknown without either', () => {
    const endpoint = new LocalEndpoint({ authority: unnamed, log: new RecordingLog() })
    const services = [localServiceOf(undefined, endpoint), localServiceOf('named' as ServiceName, endpoint)]
    endpoint.restore(report('a', 10, 0), NOW as Timestamp)
    services.push(localServiceOf(undefined, endpoint))
    endpoint.report(report('a', 10, 1), NOW as Timestamp)
    services.push(localServiceOf(undefined, endpoint), localServiceOf('named' as ServiceName, endpoint))
    expect(services).to.deep.equal([
      undefined, { name: 'named', source: 'settings' }, { name: 's', source: 'stored-row' }, { name: 's', source: 'report' }, { name: 'named', source: 'settings' }
    ])
  })
})
