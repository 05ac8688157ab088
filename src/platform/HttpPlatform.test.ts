/** HTTP adapters against the stand-in: they meet the contract, and classify failures as "not written" or "perhaps written". */
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

/** Runs one operation of each kind. Returns the names of their errors, `undefined` for a success. */
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

  it('reports that nothing was written while the platform is down or over its rate limit', async () => {
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

  it('reports that nothing was written if the connection is refused', async () => {
    await standIn.stop()
    expect(Object.values(await tryEach(platform))).to.deep.equal(Array(4).fill('PlatformUnavailableError'))
    standIn = new PlatformStandIn()
    await standIn.start()
  })

  it('reports an unknown outcome of writes after a lost response, a lost request or a timeout', async () => {
    const expectedUnknown = { read: undefined, get: undefined, transact: 'OutcomeUnknownError', put: 'OutcomeUnknownError' }
    standIn.faults.set({ lostAnswers: 1 })
    expect(await tryEach(platform)).to.deep.equal(expectedUnknown)
    expect(await standIn.platform.plainTable.read(ROW)).to.include({ value: '1' })
    standIn.faults.set({ lostAnswers: 0, lostRequests: 1 })
    expect(await tryEach(platform)).to.deep.equal(expectedUnknown)
    standIn.faults.set({ lostRequests: 0, delay: 2_000 as Milliseconds })
    const shortTimeoutPlatform = connectHttpPlatform(standIn.url, { requestTimeout: 300 as Milliseconds })
    expect(await tryEach(shortTimeoutPlatform)).to.deep.equal({ ...expectedUnknown, read: 'PlatformUnavailableError', get: 'PlatformUnavailableError' })
    await shortTimeoutPlatform.stop()
  })

  it('classifies invalid responses, error statuses and truncated responses of a server that is not the platform', async () => {
    const results: Record<string, unknown> = {}
    const responses: ReadonlyArray<readonly [string, number, string | undefined]> = [
      ['nonsense', 200, '<html>'], ['unlike the schema', 200, '{"row":1,"rows":{},"isCommitted":false}'],
      ['internal error', 500, ''], ['gateway error', 502, ''], ['not allowed', 403, ''], ['broken', 200, undefined]
    ]
    for (const [name, status, body] of responses) {
      const server = await serve(status, body)
      const other = connectHttpPlatform(`http://127.0.0.1:${(server.address() as AddressInfo).port}/prefix/`)
      results[name] = await tryEach(other)
      await other.stop()
      server.closeAllConnections()
      server.close()
    }
    expect(results).toMatchSnapshot()
  })

  it('sets faults and returns counts over the HTTP interface of the stand-in', async () => {
    const put = await fetch(`${standIn.url}/faults`, { method: 'PUT', body: JSON.stringify({ isDown: true }) })
    expect(await put.json()).to.include({ isDown: true })
    await tryEach(platform)
    await fetch(`${standIn.url}/faults`, { method: 'DELETE' })
    expect(await (await fetch(`${standIn.url}/counts`)).json()).to.include({ reads: 2, writes: 2, refused: 4 })
    expect((await fetch(`${standIn.url}/table/read`, { method: 'POST', body: '{' })).status).to.equal(400)
    expect((await fetch(`${standIn.url}/nothing`)).status).to.equal(404)
  })
})

/** Starts a server that sends the same response to every request; without `body` it closes the connection in the middle of a body. */
async function serve (status: number, body: string | undefined): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume()
    if (body !== undefined) response.writeHead(status).end(body)
    else response.writeHead(status, { 'content-length': 100 }).write('{', () => response.destroy())
  })
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  return server
}
