/** A caller that has left before its request is given to an endpoint, to the first one or to another. */
import { expect } from 'chai'
import { CancellationSource } from '../../common/Cancellation.js'
import type { Milliseconds, RouteName, ServiceName, Timestamp } from '../../common/Types.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import type { AttemptOutcome, IMeshRoute, RepeatKind } from '../Types.js'
import { CallTask, type ICallServices } from './CallTask.js'

const ANSWER: AttemptOutcome = { kind: 'answered', answer: { status: 200, fields: [], body: Buffer.alloc(0) } }

describe('A caller that has left before an attempt', () => {
  /** Attempts begun; `outcome`: of each of them; `onAttempt`: called when one ends. */
  async function attemptsWith (
    repeat: RepeatKind, cancellation: CancellationSource, outcome: AttemptOutcome, onAttempt: () => void = () => undefined
  ): Promise<number> {
    const clock = new ManualClock()
    let attempts = 0
    const view = { roomAt: () => undefined, target: { node: { node: 'n' }, endpoint: { id: 'e' } }, serviceTime: undefined }
    const execute = async (): Promise<AttemptOutcome> => {
      attempts++
      onAttempt()
      return outcome
    }
    const services = {
      directory: { candidates: () => [view], nodes: 1, execute },
      placement: { choose: () => view, expectedTime: () => 50 },
      allowance: { noteRequest: () => undefined, take: () => true },
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
      isEnding: () => false
    }).run()
    return attempts
  }

  /** Attempts begun for the request of a caller that had left, or had not. */
  async function attemptsFor (repeat: RepeatKind, isCancelled: boolean): Promise<number> {
    const cancellation = new CancellationSource()
    if (isCancelled) cancellation.cancel()
    return await attemptsWith(repeat, cancellation, ANSWER)
  }

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`is given no attempt: ${repeat}`, async () => {
      expect([await attemptsFor(repeat, false), await attemptsFor(repeat, true)]).to.deep.equal([1, 0])
    })

    it(`is given no further attempt if its leaving is read in the turn that reads a refusal: ${repeat}`, async () => {
      const cancellation = new CancellationSource()
      const shed = { kind: 'refused', reason: 'shed' } as const
      expect(await attemptsWith(repeat, cancellation, shed, () => setImmediate(() => cancellation.cancel()))).to.equal(1)
    })
  }
})
