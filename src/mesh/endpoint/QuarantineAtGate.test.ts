/** Guards against a queued request that ends the endpoint although identical requests have ended others while it waited. */
import { expect } from 'chai'
import { setTimeout as sleep } from 'node:timers/promises'
import { NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import { describeOutcome, GateRig, SLOW_PATH } from '../../../testing/mesh/GateRig.js'
import { meshCall } from '../../../testing/mesh/MeshCalls.js'
import { RequestIdentity } from '../crashes/RequestIdentity.js'
import type { CrashId } from '../Types.js'

const SLOW_REQUEST_MS = 150 as Milliseconds
const CRASHES = 3
/** Age of the crashes at which a trial is permitted. */
const TRIAL_AGE_MS = 11_000

describe('A request that is quarantined while it is queued', () => {
  const clock = new ClockService()
  let rig: GateRig

  beforeEach(async () => {
    rig = new GateRig({ clock, slots: 1, slowRequestDuration: SLOW_REQUEST_MS })
    await rig.start()
  })

  afterEach(() => rig.stop())

  function quarantine (path: string, age = 0): void {
    const { fingerprint } = new RequestIdentity(meshCall('idempotent', clock.now(), { path }))
    for (let number = 0; number < CRASHES; number++) {
      rig.crashes.recordOwn({ id: `crash-${number}` as CrashId, fingerprint, kind: 'process' }, clock.now() - age as Timestamp)
    }
  }

  it('is refused when it gets its slot, with the time until the next trial, and is not executed', async () => {
    const first = rig.execute(SLOW_PATH.slice(1), NO_CANCELLATION)
    const queued = rig.execute('crash', NO_CANCELLATION)
    const other = rig.execute('other', NO_CANCELLATION)
    await sleep(SLOW_REQUEST_MS / 3)
    quarantine('/crash')
    const outcomes = await Promise.all([first, queued, other])
    expect(outcomes.map(describeOutcome)).to.deep.equal(['answered', 'quarantined', 'answered'])
    expect(outcomes[1]).to.have.property('retryAfter').that.is.within(9_000, 10_000)
    expect(rig.executedPaths).to.deep.equal([SLOW_PATH, '/other'])
  })

  it('is executed once as a trial after the delay, and a crash is marked as a failed trial', async () => {
    quarantine('/crash', TRIAL_AGE_MS)
    rig.endpoint.onRun = () => rig.endpoint.stop()
    const trial = await rig.execute('crash', NO_CANCELLATION)
    const next = await rig.execute('crash', NO_CANCELLATION)
    expect(trial).to.have.nested.property('crash.kind', 'trial')
    expect(describeOutcome(next)).to.equal('quarantined')
    expect(next).to.have.property('retryAfter').that.is.within(55_000, 60_000)
    expect(rig.executedPaths).to.deep.equal(['/crash'])
  })
})
