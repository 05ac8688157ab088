/** Guards against sending a request whose caller disconnects while the request has a slot and waits for a connection to the endpoint. */
import { expect } from 'chai'
import { subscribe, unsubscribe } from 'node:diagnostics_channel'
import type { Socket } from 'node:net'
import { CancellationSource, NO_CANCELLATION } from '../../common/Cancellation.js'
import type { Milliseconds } from '../../common/Types.js'
import { HeldClock } from '../../../testing/HeldClock.js'
import { describeOutcome, GateRig } from '../../../testing/mesh/GateRig.js'
import { until } from '../../../testing/mesh/MeshRig.js'

/** Diagnostics channel on which Node.js publishes each client socket before it connects. */
const SOCKET_CHANNEL = 'net.client.socket'
/** Work time of the first request, so long that it occupies its connection until the other requests have finished. */
const WORK_MS = 300 as Milliseconds

describe('A request whose caller disconnects while its connection to the endpoint opens', () => {
  let clock: HeldClock
  let rig: GateRig

  beforeEach(async () => {
    clock = new HeldClock()
    rig = new GateRig({ clock, slots: 4, slowRequestDuration: WORK_MS })
    await rig.start()
  })

  afterEach(() => rig.stop())

  for (const repeat of ['idempotent', 'non-idempotent'] as const) {
    it(`is not sent: ${repeat}`, async () => {
      const disconnect = new CancellationSource()
      const first = rig.execute('first', NO_CANCELLATION)
      await until(() => rig.executedPaths.length === 1)
      const second = rig.execute('second', disconnect, repeat)
      disconnect.cancel()
      const third = rig.execute('third', NO_CANCELLATION)
      clock.release()
      const outcomes = await Promise.all([first, second, third])
      expect(rig.executedPaths).to.deep.equal(['/first', '/third'])
      expect(outcomes.map(describeOutcome)).to.deep.equal(['answered', 'cancelled', 'answered'])
    })

    it(`is not sent if the disconnect is read in the event loop iteration in which the connection opens: ${repeat}`, async () => {
      const disconnect = new CancellationSource()
      const disconnectWhenOpen = (message: unknown): void => {
        // Runs in the same event loop iteration, after the handlers of the opened connection.
        (message as { socket: Socket }).socket.once('connect', () => setImmediate(() => disconnect.cancel()))
      }
      subscribe(SOCKET_CHANNEL, disconnectWhenOpen)
      const outcome = await rig.execute('second', disconnect, repeat)
      unsubscribe(SOCKET_CHANNEL, disconnectWhenOpen)
      clock.release()
      await rig.execute('third', NO_CANCELLATION)
      expect(rig.executedPaths).to.deep.equal(['/third'])
      expect(outcome).to.deep.include({ kind: 'refused', reason: 'cancelled' })
    })
  }
})
