/**
 * Guards against sending a queued request whose caller has disconnected: the slot for the request becomes free in the event loop
 * iteration that also reads the disconnect, before the disconnect is handled.
 */
import { expect } from 'chai'
import { CancellationSource, NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds } from '../../common/Types.js'
import { describeOutcome, GateRig } from '../../../testing/mesh/GateRig.js'
import { until } from '../../../testing/mesh/MeshRig.js'

/** Work time of the first request, so long that the other requests are queued when it finishes. */
const WORK_MS = 100 as Milliseconds

describe('A request whose caller\'s disconnect is read right after the response that frees a slot for the request', () => {
  let rig: GateRig

  beforeEach(async () => {
    rig = new GateRig({ clock: new ClockService(), slots: 1, slowRequestDuration: WORK_MS })
    await rig.start()
  })

  afterEach(() => rig.stop())

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`is not sent: ${repeat}`, async () => {
      const disconnect = new CancellationSource()
      const first = rig.execute('first', NO_CANCELLATION)
      await until(() => rig.executedPaths.length === 1)
      const second = rig.execute('second', disconnect, repeat)
      const third = rig.execute('third', NO_CANCELLATION)
      // Runs in the same event loop iteration, after the handlers of the response.
      await first.then(() => setImmediate(() => disconnect.cancel()))
      const outcomes = await Promise.all([second, third])
      expect(rig.executedPaths).to.deep.equal(['/first', '/third'])
      expect(outcomes.map(describeOutcome)).to.deep.equal(['cancelled', 'answered'])
    })
  }
})
