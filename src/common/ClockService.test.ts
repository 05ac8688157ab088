/** Guards against timeouts that fire before input which arrived while the process was blocked is read. */
import { expect } from 'chai'
import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { ClockService } from './ClockService.js'
import type { Milliseconds } from './Types.js'

const WAIT_MS = 5 as Milliseconds
const STALL_MS = 30

describe('ClockService', () => {
  const clock = new ClockService()
  let server: Server
  let sender: Socket
  let receiver: Socket

  beforeEach(async () => {
    server = createServer().listen(0, '127.0.0.1')
    await once(server, 'listening')
    sender = connect((server.address() as AddressInfo).port, '127.0.0.1')
    const [accepted] = await once(server, 'connection') as [Socket]
    receiver = accepted
  })

  afterEach(() => {
    sender.destroy()
    receiver.destroy()
    server.close()
  })

  /** Order in which bytes and a timer are handled if the bytes arrive and the timer elapses while the event loop is blocked. */
  async function orderOfEvents (wait: (onElapsed: () => void) => void): Promise<readonly string[]> {
    const order: string[] = []
    receiver.on('data', () => order.push('bytes'))
    await new Promise<void>((resolve) => {
      wait(() => {
        order.push('time')
        resolve()
      })
      sender.write('x')
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS)
    })
    return order
  }

  it('continues from the same time when the wall clock is set', () => {
    const timeOfDay = Date.now
    const unaffectedJumps = [-3_600_000, 3_600_000].map((jump) => {
      const before = clock.now()
      Date.now = () => timeOfDay() + jump
      const passed = clock.now() - before
      Date.now = timeOfDay
      return Math.abs(passed) < 60_000
    })
    expect(unaffectedJumps).to.deep.equal([true, true])
  })

  it('does not run an action at once whose delay is longer than timers support', async () => {
    let isRun = false
    const timer = clock.after(1e308 as Milliseconds, () => { isRun = true })
    await clock.sleep(WAIT_MS)
    timer.dispose()
    expect(isRun).to.equal(false)
  })

  it('runs a delayed action only after pending input is read', async () => {
    expect(await orderOfEvents((onElapsed) => clock.after(WAIT_MS, onElapsed))).to.deep.equal(['bytes', 'time'])
  })

  it('runs an interval action only after pending input is read, and not after the timer is disposed', async () => {
    let calls = 0
    const order = await orderOfEvents((onElapsed) => {
      const timer = clock.every(WAIT_MS, () => {
        calls++
        timer.dispose()
        onElapsed()
      })
    })
    await clock.sleep(WAIT_MS * 3 as Milliseconds)
    expect([order, calls]).to.deep.equal([['bytes', 'time'], 1])
  })

  it('resolves a sleep only after pending input is read', async () => {
    expect(await orderOfEvents((onElapsed) => { clock.sleep(WAIT_MS).then(onElapsed, onElapsed) })).to.deep.equal(['bytes', 'time'])
  })
})
