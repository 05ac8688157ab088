/** What a line of the log holds. */
import { expect } from 'chai'
import { Writable } from 'node:stream'
import { transports } from 'winston'
import { INVARIANT_BREACHED } from './Events.js'
import { LogService } from './LogService.js'

describe('LogService', () => {
  it('writes number, name and every field, also one that is named message', () => {
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
})
