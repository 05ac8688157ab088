/** Guards against one request of a caller that ends one endpoint after the other. */
import { expect } from 'chai'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { createRequestId } from '../../common/Ids.js'
import { MetricsService } from '../../common/MetricsService.js'
import type { Milliseconds, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { CrashRegistry } from '../crashes/CrashRegistry.js'
import { RequestIdentity } from '../crashes/RequestIdentity.js'
import type { AttemptOutcome, CrashId, IMeshCall, IMeshRoute, NodeName } from '../Types.js'
import { CallTask, type CallResult, type ICallServices } from './CallTask.js'

const ROUTE: IMeshRoute = {
  name: 'route' as RouteName,
  host: 'h',
  prefix: '/',
  shares: [],
  repeat: 'idempotent',
  timeout: 2_000 as Milliseconds,
  objective: 500 as Milliseconds,
  attempts: 5,
  rank: 0
}

/** Time until a changed report is published. */
const REPORT_DELAY_MS = 300

describe('A request whose endpoints end', () => {
  const clock = new ManualClock()
  let crashes: CrashRegistry
  let attempts: number

  beforeEach(() => {
    crashes = new CrashRegistry({ self: 'n' as NodeName, clock, log: new RecordingLog(), metrics: new MetricsService() })
    attempts = 0
  })

  afterEach(() => crashes.dispose())

  /** `outcomeOf`: outcome of each attempt. */
  async function run (outcomeOf: (call: IMeshCall) => AttemptOutcome): Promise<CallResult> {
    const views = Array.from({ length: 5 }, (_, number) => (
      { capacityExpectedAt: () => undefined, target: { node: { node: `n${number}` }, endpoint: { id: `e${number}` } }, serviceTime: undefined }
    ))
    const execute = async (_view: unknown, call: IMeshCall): Promise<AttemptOutcome> => {
      attempts++
      return outcomeOf(call)
    }
    const services = {
      directory: { candidates: () => views, nodes: 5, execute },
      endpointSelector: { choose: ([first]: unknown[]) => first, expectedTime: () => 50 },
      crashes,
      retryBudget: { recordRequest: () => undefined, tryAcquire: () => true },
      clock,
      log: new RecordingLog()
    } as unknown as ICallServices
    const now = clock.now()
    return await new CallTask(services, {
      route: ROUTE,
      service: 's' as ServiceName,
      callerRequestId: 'c',
      callerService: 'caller',
      method: 'PUT',
      path: '/',
      fields: ['host', 'h'],
      body: Buffer.from('body'),
      arrivedAt: now,
      deadlineAt: now + ROUTE.timeout as Timestamp,
      cancellation: NO_CANCELLATION,
      isStopping: () => false
    }).run()
  }

  function crashUnder (call: IMeshCall): AttemptOutcome {
    const crash = { id: createRequestId() as string as CrashId, fingerprint: new RequestIdentity(call).fingerprint, kind: 'process-alone' as const }
    return { kind: 'unknown', reason: 'other side closed', crash }
  }

  it('is sent to a second endpoint and to no further one', async () => {
    const result = await run(crashUnder)
    expect(attempts).to.equal(2)
    expect(result).to.deep.include({ kind: 'unknown', reason: 'other side closed' })
  })

  it('is refused as not run when it comes again, with the time until the next trial', async () => {
    await run(crashUnder)
    const result = await run(crashUnder)
    expect(attempts).to.equal(2)
    expect(result).to.deep.equal({ kind: 'refused', reason: 'quarantined', retryAfter: 10_000 })
  })

  it('is sent to one endpoint as a trial, and is served again after it has succeeded there', async () => {
    await run(crashUnder)
    await clock.advance(10_000)
    attempts = 0
    const outcomes = [
      await run(() => ({ kind: 'answered', answer: { status: 200, fields: [], body: Buffer.alloc(0) } })),
      await run(() => ({ kind: 'answered', answer: { status: 200, fields: [], body: Buffer.alloc(0) } }))
    ]
    expect(outcomes.map(({ kind }) => kind)).to.deep.equal(['answered', 'answered'])
    expect(attempts).to.equal(2)
    await clock.advance(REPORT_DELAY_MS)
    expect(crashes.report?.crashes).to.deep.equal([])
  })
})
