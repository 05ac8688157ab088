/** Content of log lines. */
import { expect } from 'chai'
import { Writable } from 'node:stream'
import { transports } from 'winston'
import { INVARIANT_BREACHED } from './Events.js'
import { batchedTransport, LogService } from './LogService.js'

describe('LogService', () => {
  it('writes the number, the name and all fields of an event, including a field named message', () => {
    const lines: string[] = []
    const stream = new Writable({
      write: (chunk, _encoding, done) => {
        lines.push(String(chunk))
        done()
      }
    })
    const log = new LogService({ level: 'error', fields: { node: 'n1' } }, new transports.Stream({ stream }))
    log.log(INVARIANT_BREACHED, { step: 'test', peer: 'p1', message: 'port is taken' })
    const { timestamp, ...entry } = JSON.parse(lines[0] ?? '{}') as Record<string, unknown>
    expect(timestamp).to.be.a('string')
    expect(entry).toMatchSnapshot()
  })

  it('omits events below its level, and lets its own fields override fields of the event', () => {
    const lines: string[] = []
    const stream = new Writable({
      write: (chunk, _encoding, done) => {
        lines.push(String(chunk))
        done()
      }
    })
    const log = new LogService({ level: 'warn', fields: { node: 'n1' } }, new transports.Stream({ stream }))
    const event = { number: 1, name: 'happened', meaning: '' } as const
    for (const level of ['error', 'warn', 'info', 'debug'] as const) log.log({ ...event, level }, { node: 'other', parts: [{ b: 1, a: undefined }] })
    const time = /"timestamp":"[^"]*Z"/
    expect(lines.map((line) => line.replace(time, 'TIME'))).to.deep.equal(['error', 'warn'].map((level) => {
      return `{"event":1,"level":"${level}","message":"happened","node":"n1","parts":[{"b":1}],TIME}\n`
    }))
  })

  it('passes the lines of one callback to the system together, and those of the next one separately', async () => {
    const writes: number[] = []
    const stream = new Writable({
      write: (_chunk, _encoding, done) => {
        writes.push(1)
        done()
      },
      writev: (chunks, done) => {
        writes.push(chunks.length)
        done()
      }
    })
    const log = new LogService({ level: 'error' }, batchedTransport(stream))
    for (let line = 0; line < 5; line++) log.log(INVARIANT_BREACHED, { step: 'test' })
    await new Promise((resolve) => setImmediate(resolve))
    log.log(INVARIANT_BREACHED, { step: 'test' })
    await new Promise((resolve) => setImmediate(resolve))
    expect(writes).to.deep.equal([5, 1])
  })

  it('passes the last lines to the system when the process exits in the callback that wrote them', () => {
    let lines = 0
    const stream = new Writable({
      write: (_chunk, _encoding, done) => {
        lines++
        done()
      }
    })
    const before = process.listeners('exit')
    const log = new LogService({ level: 'error' }, batchedTransport(stream))
    log.log(INVARIANT_BREACHED, { step: 'test' })
    const [onExit] = process.listeners('exit').filter((listener) => !before.includes(listener))
    onExit?.call(process, 0)
    expect(lines).to.equal(1)
  })
})
