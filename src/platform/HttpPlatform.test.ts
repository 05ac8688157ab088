/** The HTTP adapters against the stand-in: same semantics, and every failure sorted into written or perhaps written. */
import { expect } from 'chai'
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { connectHttpPlatform, type IHttpPlatform } from '../../testing/platform/HttpPlatform.js'
import { describePlatformContract } from '../../testing/platform/PlatformContract.js'
import { PlatformStandIn } from '../../testing/platform/PlatformStandIn.js'
import type { Milliseconds } from '../common/Types.js'
import type { ObjectKey, RowKey, TableName } from './Types.js'

const ROW = { table: 'rows' as TableName, key: 'a' as RowKey }
const KEY = 'a' as ObjectKey

/** Names of the errors of one operation of each kind, `undefined` for a success. */
async function tryEach (platform: IHttpPlatform): Promise<Record<string, string | undefined>> {
  const nameOf = async (task: Promise<unknown>): Promise<string | undefined> => {
    const error = await task.then(() => undefined, (reason: unknown) => reason)
    return error === undefined ? undefined : (error as Error).name
  }
  return {
    read: await nameOf(platform.table.read(ROW)),
    get: await nameOf(platform.objects.get(KEY)),
    transact: await nameOf(platform.table.transact({ conditions: [], writes: [{ ...ROW, value: '1' }] })),
    put: await nameOf(platform.objects.put(KEY, new Uint8Array(), 'any'))
  }
}

describePlatformContract('HttpTableService and HttpObjectStore', async () => {
  const standIn = new PlatformStandIn()
  await standIn.start()
  const platform = connectHttpPlatform(standIn.url)
  return {
    ...platform,
    stop: async () => {
      await platform.stop()
      await standIn.stop()
    }
  }
})

describe('PlatformHttpClient', () => {
  let standIn: PlatformStandIn
  let platform: IHttpPlatform

  beforeEach(async () => {
    standIn = new PlatformStandIn()
    await standIn.start()
    platform = connectHttpPlatform(standIn.url)
  })

  afterEach(async () => {
    standIn.faults.clear()
    await platform.stop()
    await standIn.stop()
  })

  it('knows that nothing was written while the platform is down or over its rate', async () => {
    const unavailable = { read: 'PlatformUnavailableError', get: 'PlatformUnavailableError', transact: 'PlatformUnavailableError', put: 'PlatformUnavailableError' }
    standIn.faults.set({ isDown: true })
    expect(await tryEach(platform)).to.deep.equal(unavailable)
    standIn.faults.set({ isDown: false, readsPerSecond: 0.1, writesPerSecond: 0.1 })
    expect(await tryEach(platform)).to.deep.equal(unavailable)
    expect(await standIn.platform.plainTable.read(ROW)).to.equal(undefined)
    standIn.faults.clear()
    await tryEach(platform)
    expect(platform.log.events.map(({ name }) => name)).to.deep.equal(['platform-unavailable', 'platform-available'])
  })

  it('knows that nothing was written if the connection was refused', async () => {
    await standIn.stop()
    expect(Object.values(await tryEach(platform))).to.deep.equal(Array(4).fill('PlatformUnavailableError'))
    standIn = new PlatformStandIn()
    await standIn.start()
  })

  it('does not know after a lost answer, a lost request or a slow answer', async () => {
    const unknown = { read: undefined, get: undefined, transact: 'OutcomeUnknownError', put: 'OutcomeUnknownError' }
    standIn.faults.set({ lostAnswers: 1 })
    expect(await tryEach(platform)).to.deep.equal(unknown)
    expect(await standIn.platform.plainTable.read(ROW)).to.include({ value: '1' })
    standIn.faults.set({ lostAnswers: 0, lostRequests: 1 })
    expect(await tryEach(platform)).to.deep.equal(unknown)
    standIn.faults.set({ lostRequests: 0, delay: 2_000 as Milliseconds })
    const impatient = connectHttpPlatform(standIn.url, { requestTimeout: 300 as Milliseconds })
    expect(await tryEach(impatient)).to.deep.equal({ ...unknown, read: 'PlatformUnavailableError', get: 'PlatformUnavailableError' })
    await impatient.stop()
  })

  it('sorts nonsense, errors and broken answers of whoever answers in place of the platform', async () => {
    const results: Record<string, unknown> = {}
    const answers: ReadonlyArray<readonly [string, number, string | undefined]> = [
      ['nonsense', 200, '<html>'], ['unlike the schema', 200, '{"row":1,"rows":{},"isCommitted":false}'],
      ['internal error', 500, ''], ['gateway error', 502, ''], ['not allowed', 403, ''], ['broken', 200, undefined]
    ]
    for (const [name, status, body] of answers) {
      const server = await serve(status, body)
      const other = connectHttpPlatform(`http://127.0.0.1:${(server.address() as AddressInfo).port}/prefix/`)
      results[name] = await tryEach(other)
      await other.stop()
      server.closeAllConnections()
      server.close()
    }
    expect(results).toMatchSnapshot()
  })

  it('switches faults and reads counts over HTTP', async () => {
    const put = await fetch(`${standIn.url}/faults`, { method: 'PUT', body: JSON.stringify({ isDown: true }) })
    expect(await put.json()).to.include({ isDown: true })
    await tryEach(platform)
    await fetch(`${standIn.url}/faults`, { method: 'DELETE' })
    expect(await (await fetch(`${standIn.url}/counts`)).json()).to.include({ reads: 2, writes: 2, refused: 4 })
    expect((await fetch(`${standIn.url}/table/read`, { method: 'POST', body: '{' })).status).to.equal(400)
    expect((await fetch(`${standIn.url}/nothing`)).status).to.equal(404)
  })
})

/** A server that answers everything alike; without a body it breaks off in the middle of one. */
async function serve (status: number, body: string | undefined): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume()
    if (body !== undefined) response.writeHead(status).end(body)
    else response.writeHead(status, { 'content-length': 100 }).write('{', () => response.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server
}
