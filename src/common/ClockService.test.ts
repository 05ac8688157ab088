/** What a process that was late itself does first. */
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

  /** What happens first where bytes come, and the time passes, while the event loop stands still. */
  async function orderWith (wait: (note: () => void) => void): Promise<readonly string[]> {
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

  it('goes on when the time of day is set', () => {
    const timeOfDay = Date.now
    const jumps = [-3_600_000, 3_600_000].map((jump) => {
      const before = clock.now()
      Date.now = () => timeOfDay() + jump
      const passed = clock.now() - before
      Date.now = timeOfDay
      return Math.abs(passed) < 60_000
    })
    expect(jumps).to.deep.equal([true, true])
  })

  it('acts after a time only once what came meanwhile is read', async () => {
    expect(await orderWith((note) => clock.after(WAIT_MS, note))).to.deep.equal(['bytes', 'time'])
  })

  it('acts at an interval only once what came meanwhile is read, and not after it was ended', async () => {
    let calls = 0
    const order = await orderWith((note) => {
      const timer = clock.every(WAIT_MS, () => {
        calls++
        timer.dispose()
        note()
      })
    })
    await clock.sleep(WAIT_MS * 3 as Milliseconds)
    expect([order, calls]).to.deep.equal([['bytes', 'time'], 1])
  })

  it('ends a sleep only once what came meanwhile is read', async () => {
    expect(await orderWith((note) => { clock.sleep(WAIT_MS).then(note, note) })).to.deep.equal(['bytes', 'time'])
  })
})
