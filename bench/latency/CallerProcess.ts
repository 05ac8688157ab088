/** Sends calls alternately over several paths and measures the latency of each. */
import { Pool, type Dispatcher } from 'undici'
import { RemoteGates } from '../../src/routing/RemoteGates.js'
import { ClientRequest } from '../../src/routing/ClientRequest.js'
import { CollectingSink } from '../../src/routing/CollectingSink.js'
import { RouterService } from '../../src/routing/RouterService.js'
import { serveBenchProcess } from './BenchProcess.js'
import type { CallPath, IBlockRequest, IBlockResult, ILayout, ProcessRequest } from './Protocol.js'
import { createFoundation, createSnapshots, LOCATION, NO_SETTLEMENT, StaticMembership } from './StaticMesh.js'

const SECOND_MS = 1_000
const CONNECTIONS = 32
/** Number of concurrent calls in a closed-loop block. */
const CONCURRENCY = 16
const UPSTREAM_SLOTS = 1_000

const HEADERS = ['host', 'status', 'accept', 'application/json', 'user-agent', 'bench']
const PATH = '/status/1234'

const layout = JSON.parse(process.argv[2] ?? '{}') as ILayout
const pools: Readonly<Record<string, Pool>> = {
  direct: createPool(layout.upstream), 'plain-hop': createPool(layout.plainFront), 'one-hop': createPool(layout.nearFront), 'two-hops': createPool(layout.farFront)
}
const router = createRouter()

function createPool (address: string): Pool {
  if (address === '') return createPool(layout.upstream)
  return new Pool(`http://${address}`, { connections: CONNECTIONS, pipelining: 1, keepAliveTimeout: 60_000 })
}

function createRouter (): RouterService {
  const foundation = createFoundation()
  const endpoints = [{ node: 'near', gateAddress: layout.gate, slots: UPSTREAM_SLOTS }]
  return new RouterService({
    ...foundation,
    membership: new StaticMembership('caller', endpoints),
    snapshots: createSnapshots(),
    remoteGates: new RemoteGates({ ...foundation, settleClient: NO_SETTLEMENT }),
    location: LOCATION
  })
}

/** Sends one HTTP call; resolves with the status of the response, or 0 after a failure. */
function callByHttp (pool: Pool): Promise<number> {
  return new Promise((resolve) => {
    let status = 0
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: () => undefined,
      onResponseStart: (_controller, statusCode) => { status = statusCode },
      onResponseData: () => undefined,
      onResponseEnd: () => resolve(status),
      onResponseError: () => resolve(0)
    }
    pool.dispatch({ path: PATH, method: 'GET', headers: HEADERS }, handler)
  })
}

async function callEmbedded (): Promise<number> {
  const request = new ClientRequest({ service: 'status', path: PATH, headers: { accept: 'application/json', 'user-agent': 'bench' } })
  const outcome = await router.route(request, new CollectingSink(), Date.now() as never)
  return outcome.kind === 'answered' ? outcome.status : 0
}

/** Measures one call; returns undefined if it failed. */
async function measure (path: CallPath): Promise<number | undefined> {
  const start = performance.now()
  const status = await (path === 'embedded' ? callEmbedded() : callByHttp(pools[path] as Pool))
  return status === 200 ? performance.now() - start : undefined
}

/** Runs the calls of one block: at a fixed rate, or as fast as possible in a closed loop. */
async function runBlock (block: IBlockRequest): Promise<IBlockResult> {
  const latencies: Partial<Record<CallPath, number[]>> = {}
  for (const path of block.paths) latencies[path] = []
  let failures = 0
  const measureOne = async (path: CallPath): Promise<void> => {
    const latency = await measure(path)
    if (latency === undefined) failures++
    else latencies[path]?.push(latency)
  }
  const start = performance.now()
  if (block.rate === 0) await runClosedLoop(block, start, measureOne)
  else await runOpenLoop(block, start, measureOne)
  return { kind: 'block-result', latencies, failures, elapsedMs: performance.now() - start }
}

/** Sends each call at its scheduled time, even if earlier calls are still pending. */
async function runOpenLoop (block: IBlockRequest, start: number, measureOne: (path: CallPath) => Promise<void>): Promise<void> {
  const { paths, rate, durationMs } = block
  const interval = SECOND_MS / rate / paths.length
  const count = Math.floor(durationMs / interval)
  const running: Array<Promise<void>> = []
  for (let number = 0; number < count; number++) {
    const wait = start + number * interval - performance.now()
    if (wait > 0) await new Promise((resolve) => setTimeout(resolve, wait))
    running.push(measureOne(paths[number % paths.length] as CallPath))
  }
  await Promise.all(running)
}

async function runClosedLoop (block: IBlockRequest, start: number, measureOne: (path: CallPath) => Promise<void>): Promise<void> {
  const loop = async (): Promise<void> => {
    for (let number = 0; performance.now() - start < block.durationMs; number++) {
      await measureOne(block.paths[number % block.paths.length] as CallPath)
    }
  }
  await Promise.all(Array.from({ length: CONCURRENCY }, loop))
}

serveBenchProcess({}, (request: ProcessRequest) => {
  if (request.kind === 'block') runBlock(request).then((result) => process.send?.(result))
})
