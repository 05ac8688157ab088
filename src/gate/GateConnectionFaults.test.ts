/** Connection and response faults at every stage of a request, and the outcomes that the gate reports for them. */
import { createConnection } from 'node:net'
import { request as sendRequest } from 'node:http'
import { once } from 'node:events'
import { expect } from 'chai'
import type { RequestId, Timestamp } from '../common/Types.js'
import { GateRig, summarise } from '../../testing/gate/GateRig.js'
import { HEADER } from './Types.js'
import { splitAddress } from '../common/HostPort.js'

describe('Gate with connection faults', () => {
  let rig: GateRig

  beforeEach(async () => { rig = await new GateRig({ document: { pool: { slots: 2, queue: 2 } } }).start() })
  afterEach(async () => {
    await rig.stop()
    expect(rig.invariants.breaches).to.equal(0)
  })

  it('reports the outcome of every upstream fault, and never forwards a partial response as complete', async () => {
    const faults = [
      'cut-before-head', 'cut-in-head', 'cut-in-body', 'short-body', 'no-length', 'other-coding', 'oversized', 'hang', 'hang-in-body', 'crossed',
      'malformed', 'early'
    ]
    const outcomes: Record<string, string> = {}
    for (const fault of faults) {
      const response = await rig.send({ route: 'file', body: 'x', deadlineMs: 200, headers: { 'x-fault': fault } })
      outcomes[fault] = summarise(response)
    }
    expect(outcomes).toMatchSnapshot()
    expect(summarise(await rig.send())).to.equal('200 answered')
  })

  it('responds not-run and starts no request when the upstream has stopped before the first byte', async () => {
    rig.upstream.kill()
    const responses = await Promise.all([rig.send({ route: 'file', body: 'x' }), rig.send({ route: 'file', body: 'y' })])
    for (const response of responses) expect(response.outcome).to.equal('not-run')
    expect(rig.upstream.started).to.equal(0)
    await rig.upstream.start()
    await rig.until(() => rig.gate.endpoints(rig.service as never)[0]?.state === 'serving')
    expect(summarise(await rig.send())).to.equal('200 answered')
  })

  it('skips connections that were closed while they were idle', async () => {
    for (let round = 0; round < 20; round++) {
      expect(summarise(await rig.send())).to.equal('200 answered')
      const idle = [...rig.gate.endpoints(rig.service as never)[0]?.connections.open ?? []]
      if (round % 2 === 0) for (const connection of idle) connection.close()
    }
  })

  it('cancels the request at the upstream and frees the slot when the caller disconnects at any stage of the request', async () => {
    const { host, port } = splitAddress(rig.server.address)
    const fields = Object.entries(rig.fields({ route: 'file', id: 'cut' })).map(([name, value]) => `${name}: ${value}\r\n`).join('')
    const head = `POST /a HTTP/1.1\r\nhost: x\r\n${fields}content-length: 100000\r\n`
    const steps = ['', 'POST /a HTTP/1.1\r\nho', `${head}\r\n`, `${head}\r\n${'x'.repeat(70_000)}`, `${head}x-fault: hang\r\n\r\n${'x'.repeat(100_000)}`]
    for (const step of steps) {
      const socket = createConnection(port, host)
      socket.on('error', () => {})
      await once(socket, 'connect')
      socket.write(step)
      await new Promise((resolve) => { setTimeout(resolve, 30) })
      socket.destroy()
      await rig.until(() => rig.gate.occupancy(rig.service as never)?.used === 0)
    }
    await rig.until(() => rig.upstream.cancelled === 2)
    expect(rig.upstream.started).to.equal(1)
    expect(summarise(await rig.send({ route: 'file', body: 'whole' }))).to.equal('200 answered')
  })

  it('streams a large response completely with backpressure, and refuses one over the limit', async () => {
    const response = await rig.send({ headers: { 'x-answer-bytes': '200000' } })
    expect([response.isWhole, response.text.length]).to.deep.equal([true, 200_000])
    const large = await rig.send({ headers: { 'x-answer-bytes': '200001' } })
    expect(summarise(large)).to.equal('502 unknown answer-too-large')
  })

  it('returns to each of several concurrent callers the response to its own request', async () => {
    const responses = await Promise.all(Array.from({ length: 4 }, (_, number) => rig.send({ path: `/own/${number}`, id: `own-${number}` })))
    responses.forEach((response, number) => {
      expect(JSON.parse(response.text)).to.include({ path: `/own/${number}`, requestId: `own-${number}` })
    })
  })

  it('settles a request as started, or as never to be started even if it arrives later', async () => {
    await rig.send({ route: 'file', id: 'ran', body: 'x' })
    const now = Date.now() as Timestamp
    expect(rig.gate.settle('ran' as RequestId, now)).to.equal('started')
    expect(rig.gate.settle('late' as RequestId, now)).to.equal('never-will-be')
    const late = await rig.send({ route: 'file', id: 'late', body: 'x' })
    expect(summarise(late)).to.equal('499 not-run cancelled')
    expect(rig.upstream.started).to.equal(1)
  })

  it('refuses a queued request that is settled as never to be started', async () => {
    const running = [0, 1].map((number) => rig.send({ headers: { 'x-fault': 'hang' }, deadlineMs: 300, id: `hang-${number}` }))
    await rig.until(() => rig.gate.occupancy(rig.service as never)?.used === 2)
    const waiting = rig.send({ id: 'waiting', route: 'file', body: 'x' })
    await rig.until(() => rig.gate.occupancy(rig.service as never)?.queued === 1)
    expect(rig.gate.settle('waiting' as RequestId, Date.now() as Timestamp)).to.equal('never-will-be')
    expect(summarise(await waiting)).to.equal('499 not-run cancelled')
    await Promise.all(running)
    expect(rig.upstream.executions.has('waiting')).to.equal(false)
  })

  it('refuses malformed, unroutable and oversized requests as not run', async () => {
    const responses = {
      'no route': await rig.send({ route: 'other' }),
      'no service': await rig.send({ headers: { [HEADER.service]: 'other' } }),
      'hostile route name': await rig.send({ headers: { [HEADER.route]: '../read' } }),
      'bad deadline': await rig.send({ headers: { [HEADER.deadline]: '1e9' } }),
      'no time left': await rig.send({ deadlineMs: 0 }),
      'bad request id': await rig.send({ id: 'a b' }),
      'body over the limit': await rig.send({ body: 'x'.repeat(100_001) }),
      'missing key': await rig.send({ route: 'pay', body: 'x' })
    }
    const outcomes = Object.fromEntries(Object.entries(responses).map(([name, response]) => [name, summarise(response)]))
    expect(outcomes).toMatchSnapshot()
    expect(rig.upstream.started).to.equal(0)
  })

  it('runs a request with a key only under a claim while the sender has a newer document version', async () => {
    const newer = { [HEADER.version]: '2' }
    expect(summarise(await rig.send({ route: 'file', key: 'k', body: 'x', headers: newer }))).to.equal('503 not-run not-ready')
    expect(rig.upstream.started).to.equal(0)
    expect(summarise(await rig.send({ route: 'file', body: 'x', headers: newer }))).to.equal('200 answered')
    expect(summarise(await rig.send({ route: 'pay', key: 'k', body: 'x', headers: newer }))).to.equal('200 answered')
  })

  it('aborts a request whose chunked body exceeds the limit', async () => {
    const { host, port } = splitAddress(rig.server.address)
    const outgoing = sendRequest({ host, port, method: 'POST', path: '/a', headers: rig.fields({ route: 'file' }), agent: false })
    outgoing.on('error', () => {})
    for (let part = 0; part < 20; part++) outgoing.write('x'.repeat(10_000))
    outgoing.end()
    const [message] = await once(outgoing, 'response')
    message.resume()
    expect([message.headers[HEADER.outcome], message.headers[HEADER.reason]]).to.deep.equal(['unknown', 'request-too-large'])
    expect(rig.upstream.started).to.equal(0)
  })
})
