/** Guards against sending a request late, or keeping its slot, if its connection to the endpoint does not open before its deadline. */
import { expect } from 'chai'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { describeOutcome, GateRig } from '../../../testing/mesh/GateRig.js'
import { until } from '../../../testing/mesh/MeshRig.js'
import type { AttemptOutcome } from '../Types.js'

/** Work time of the first request; longer than the timeout of the request that waits for a connection. */
const WORK_MS = 600 as Milliseconds
const TIMEOUT_MS = 100

describe('A request whose connection to the endpoint opens after its deadline', () => {
  let clock: HeldClock
  let rig: GateRig
  let outcomes: string[]

  beforeEach(async () => {
    clock = new HeldClock()
    outcomes = []
    rig = new GateRig({ clock, slots: 4, slowRequestDuration: WORK_MS })
    await rig.start()
  })

  afterEach(() => rig.stop())

  async function execute (id: string, timeout: number): Promise<AttemptOutcome> {
    const now = clock.now()
    const times = { objectiveAt: now + timeout / 2 as Timestamp, deadlineAt: now + timeout as Timestamp }
    const outcome = await rig.execute(id, NO_CANCELLATION, 'idempotent', times)
    outcomes.push(`${id} ${describeOutcome(outcome)}`)
    return outcome
  }

  it('is refused at its deadline, frees its slot, and is not sent later', async () => {
    const first = execute('first', WORK_MS * 5)
    await until(() => rig.executedPaths.length === 1)
    const late = execute('late', TIMEOUT_MS)
    await first
    clock.release()
    await late
    await execute('next', WORK_MS * 5)
    expect([outcomes, rig.executedPaths]).to.deep.equal([
      ['late deadline', 'first answered', 'next answered'], ['/first', '/next']
    ])
  })

  it('does not mark the endpoint as unreachable', async () => {
    const first = execute('first', WORK_MS * 5)
    await until(() => rig.executedPaths.length === 1)
    const late = execute('late', TIMEOUT_MS)
    await late.then(() => clock.release(), () => undefined)
    const [, next] = await Promise.all([first, execute('next', WORK_MS * 5)])
    expect([next.kind, next.load?.failurePercent]).to.deep.equal(['answered', 0])
  })
})
