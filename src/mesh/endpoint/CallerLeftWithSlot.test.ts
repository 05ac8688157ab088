/** A slot that becomes free in the turn of the event loop that also reads that the next request's caller has left. */
import { expect } from 'chai'
import { CancellationSource, NO_CANCELLATION } from '../../common/Cancellation.js'
import { ClockService } from '../../common/ClockService.js'
import type { Milliseconds } from '../../common/Types.js'
import { endOf, GateRig } from '../../../testing/mesh/GateRig.js'
import { until } from '../../../testing/mesh/MeshRig.js'

/** So long that the other requests wait in line when the first one ends. */
const WORK_MS = 100 as Milliseconds

describe('A caller whose leaving is read right behind the answer that frees a slot for its request', () => {
  let rig: GateRig

  beforeEach(async () => {
    rig = new GateRig({ clock: new ClockService(), slots: 1, firstWork: WORK_MS })
    await rig.start()
  })

  afterEach(() => rig.stop())

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`has nothing sent for it: ${repeat}`, async () => {
      const left = new CancellationSource()
      const first = rig.execute('first', NO_CANCELLATION)
      await until(() => rig.ranPaths.length === 1)
      const second = rig.execute('second', left, repeat)
      const third = rig.execute('third', NO_CANCELLATION)
      // Comes in the same turn, behind what the answer has caused.
      await first.then(() => setImmediate(() => left.cancel()))
      const outcomes = await Promise.all([second, third])
      expect(rig.ranPaths).to.deep.equal(['/first', '/third'])
      expect(outcomes.map(endOf)).to.deep.equal(['cancelled', 'answered'])
    })
  }
})
