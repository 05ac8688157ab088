/** Guards against attempts for a caller that has disconnected, both the first attempt and a retry after a refusal. */
import { expect } from 'chai'
import { CancellationSource } from '../../common/Cancellation.js'
import { MetricsService } from '../../common/MetricsService.js'
import type { Milliseconds, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { CrashRegistry } from '../crashes/CrashRegistry.js'
import type { AttemptOutcome, IMeshRoute, Idempotency, NodeName } from '../Types.js'
import { CallTask, type ICallServices } from './CallTask.js'

const RESPONSE: AttemptOutcome = { kind: 'answered', answer: { status: 200, fields: [], body: Buffer.alloc(0) } }

describe('A caller that has disconnected before an attempt', () => {
  /** Number of started attempts. `outcome`: outcome of each attempt; `onAttempt`: called when an attempt finishes. */
  async function attemptsWith (
    repeat: Idempotency, cancellation: CancellationSource, outcome: AttemptOutcome, onAttempt: () => void = () => undefined
  ): Promise<number> {
    const clock = new ManualClock()
    let attempts = 0
    const view = { capacityExpectedAt: () => undefined, target: { node: { node: 'n' }, endpoint: { id: 'e' } }, serviceTime: undefined }
    const execute = async (): Promise<AttemptOutcome> => {
      attempts++
      onAttempt()
      return outcome
    }
    const services = {
      directory: { candidates: () => [view], nodes: 1, execute },
      endpointSelector: { choose: () => view, expectedTime: () => 50 },
      crashes: new CrashRegistry({ self: 'n' as NodeName, clock, log: new RecordingLog(), metrics: new MetricsService() }),
      retryBudget: { recordRequest: () => undefined, tryAcquire: () => true },
      clock,
      log: new RecordingLog()
    } as unknown as ICallServices
    const route: IMeshRoute = {
      name: 'route' as RouteName, host: 'h', prefix: '/', shares: [], repeat, timeout: 2_000 as Milliseconds, objective: 500 as Milliseconds, attempts: 2, rank: 0
    }
    const now = clock.now()
    await new CallTask(services, {
      route,
      service: 's' as ServiceName,
      callerRequestId: 'c',
      callerService: 'caller',
      method: 'GET',
      path: '/',
      fields: [],
      body: undefined,
      arrivedAt: now,
      deadlineAt: now + route.timeout as Timestamp,
      cancellation,
      isStopping: () => false
    }).run()
    return attempts
  }

  /** Number of started attempts if the caller has disconnected, or has not. */
  async function attemptsFor (repeat: Idempotency, isCancelled: boolean): Promise<number> {
    const cancellation = new CancellationSource()
    if (isCancelled) cancellation.cancel()
    return await attemptsWith(repeat, cancellation, RESPONSE)
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`gets no attempt, unlike a connected caller: ${repeat}`, async () => {
      expect([await attemptsFor(repeat, false), await attemptsFor(repeat, true)]).to.deep.equal([1, 0])
    })

    it(`gets no retry if its disconnect is read in the same event loop iteration as a refusal: ${repeat}`, async () => {
      const cancellation = new CancellationSource()
      const shed = { kind: 'refused', reason: 'shed' } as const
      expect(await attemptsWith(repeat, cancellation, shed, () => setImmediate(() => cancellation.cancel()))).to.equal(1)
    })
  }
})
