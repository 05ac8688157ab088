/** A caller that leaves while its request has a slot and waits for a connection to the endpoint. */
import { expect } from 'chai'
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { CancellationSource, NO_CANCELLATION } from '../../common/Cancellation.js'
import type { Milliseconds } from '../../common/Types.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { endOf, GateRig } from '../../../testing/mesh/GateRig.js'
import { until } from '../../../testing/mesh/MeshRig.js'

/** Channel on which Node.js tells of each socket that is about to connect. */
const SOCKET_CHANNEL = 'net.client.socket'
/** So long that the first request has its connection until the other ones have ended. */
const WORK_MS = 300 as Milliseconds

describe('A caller that leaves while a connection to the endpoint is opened', () => {
  let clock: HeldClock
  let rig: GateRig

  beforeEach(async () => {
    clock = new HeldClock()
    rig = new GateRig({ clock, slots: 4, firstWork: WORK_MS })
    await rig.start()
  })

  afterEach(() => rig.stop())

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`has nothing sent for it afterwards: ${repeat}`, async () => {
      const left = new CancellationSource()
      const first = rig.execute('first', NO_CANCELLATION)
      await until(() => rig.ranPaths.length === 1)
      const second = rig.execute('second', left, repeat)
      left.cancel()
      const third = rig.execute('third', NO_CANCELLATION)
      clock.letGo()
      const outcomes = await Promise.all([first, second, third])
      expect(rig.ranPaths).to.deep.equal(['/first', '/third'])
      expect(outcomes.map(endOf)).to.deep.equal(['answered', 'cancelled', 'answered'])
    })

    it(`has nothing sent for it if its leaving is read in the turn in which the connection opens: ${repeat}`, async () => {
      const left = new CancellationSource()
      const leaveWhenOpen = (message: unknown): void => {
        // Comes in the same turn, behind what the opening has caused.
        (message as { socket: Socket }).socket.once('connect', () => setImmediate(() => left.cancel()))
      }
      subscribe(SOCKET_CHANNEL, leaveWhenOpen)
      const outcome = await rig.execute('second', left, repeat)
      unsubscribe(SOCKET_CHANNEL, leaveWhenOpen)
      clock.letGo()
      await rig.execute('third', NO_CANCELLATION)
      expect(rig.ranPaths).to.deep.equal(['/third'])
      expect(outcome).to.deep.include({ kind: 'refused', reason: 'cancelled' })
    })
  }
})
