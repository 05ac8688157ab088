/** Latency that the mesh adds to a call, by path through the mesh. */
import { createServer, type AddressInfo } from 'node:net'
import { BOUNDS } from './Bounds.js'
import { BenchProcess } from './latency/BenchProcess.js'
import type { CallPath, IBlockResult, ILayout } from './latency/Protocol.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const DESIGN_RATE = 91
const HIGH_RATE = 500
const BLOCK_MS = 4_000
const QUICK_BLOCK_MS = 1_000
const ROUNDS = 5
const QUICK_ROUNDS = 2
const WARM_UP_MS = 3_000
const QUICK_WARM_UP_MS = 700
const CLOSED_LOOP_MS = 3_000
const QUICK_CLOSED_LOOP_MS = 500
const MICROSECONDS_PER_MS = 1_000
const BYTES_PER_MEGABYTE = 1_000_000
const UPSTREAM_SLOTS = 1_000
/** Node.js options that docs/OPERATIONS.md recommends for a node. */
const NODE_ARGUMENTS = ['--max-semi-space-size=2']

/** The paths through the mesh and, with `--baseline`, the plain hop. */
function pathsOf (rig: IRig): readonly CallPath[] {
  return rig.plain === undefined ? ['one-hop', 'two-hops', 'embedded'] : ['plain-hop', 'one-hop', 'two-hops', 'embedded']
}

/** The processes of one run. */
interface IRig {
  readonly upstream: BenchProcess
  readonly near: BenchProcess
  readonly far: BenchProcess
  readonly caller: BenchProcess
  /** Minimal proxy as a lower bound for the cost of a hop; only with `--baseline`. */
  readonly plain?: BenchProcess
}

/** Sends pairs of calls, one directly and one through the mesh, in blocks that alternate between the paths. */
export const ADDED_LATENCY: IBench = {
  name: 'added-latency',
  summary: 'Latency added to a call that is served at the node it reached, at another node, or from the embedded library; processor time per call',
  run: async (options, report) => {
    const rig = await startRig(options.baseline)
    try {
      await warmUp(rig, options.quick ? QUICK_WARM_UP_MS : WARM_UP_MS)
      await measureRate(rig, DESIGN_RATE, options, report)
      if (!options.quick) await measureRate(rig, HIGH_RATE, options, report)
      await measureThroughput(rig, options, report)
    } finally {
      await Promise.all(Object.values(rig).map((process: BenchProcess) => process.stop()))
    }
  }
}

async function startRig (hasPlainHop: boolean): Promise<IRig> {
  const upstream = new BenchProcess('./UpstreamProcess.js', { service: 'status', slots: UPSTREAM_SLOTS })
  const upstreamAddress = (await upstream.next('ready')).addresses.upstream as string
  const gate = await freeAddress()
  const endpoints = [{ node: 'near', gateAddress: gate, slots: UPSTREAM_SLOTS }]
  const near = new BenchProcess('./NodeProcess.js', { id: 'near', upstream: upstreamAddress, gateAddress: gate, endpoints }, NODE_ARGUMENTS)
  const nearFront = (await near.next('ready')).addresses.front as string
  const far = new BenchProcess('./NodeProcess.js', { id: 'far', gateAddress: await freeAddress(), endpoints }, NODE_ARGUMENTS)
  const farFront = (await far.next('ready')).addresses.front as string
  const plain = hasPlainHop ? new BenchProcess('./PlainHopProcess.js', { upstream: upstreamAddress }) : undefined
  const plainFront = plain === undefined ? '' : (await plain.next('ready')).addresses.front as string
  const layout: ILayout = { upstream: upstreamAddress, gate, plainFront, nearFront, farFront }
  const caller = new BenchProcess('./CallerProcess.js', layout)
  await caller.next('ready')
  return { upstream, near, far, caller, ...(plain === undefined ? {} : { plain }) }
}

async function warmUp (rig: IRig, durationMs: number): Promise<void> {
  for (const rate of [0, DESIGN_RATE]) await runBlock(rig, ['direct', ...pathsOf(rig)], rate, durationMs)
}

async function measureRate (rig: IRig, rate: number, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  const paths = pathsOf(rig)
  const direct = new Map<CallPath, number[]>(paths.map((path) => [path, []]))
  const through = new Map<CallPath, number[]>(paths.map((path) => [path, []]))
  const processor = new Map<CallPath, number>()
  let failures = 0
  for (let round = 0; round < (options.quick ? QUICK_ROUNDS : ROUNDS); round++) {
    for (const path of paths) {
      const before = await readProcessorMs(rig)
      const result = await runBlock(rig, ['direct', path], rate, options.quick ? QUICK_BLOCK_MS : BLOCK_MS)
      processor.set(path, (processor.get(path) ?? 0) + await readProcessorMs(rig) - before)
      direct.get(path)?.push(...result.latencies.direct ?? [])
      through.get(path)?.push(...result.latencies[path] ?? [])
      failures += result.failures
    }
  }
  for (const path of paths) {
    reportPath(path, rate, direct.get(path) ?? [], through.get(path) ?? [], report)
    const calls = through.get(path)?.length ?? 1
    report({ name: `${path} processor time of the nodes per call at ${rate}/s`, value: round((processor.get(path) ?? 0) / calls), unit: 'ms' })
  }
  report({ name: `failed calls at ${rate}/s`, value: failures, unit: 'calls', bound: BOUNDS.none })
}

/** Reports the added latency: the difference between the quantiles of the direct calls and of the calls through the mesh. */
function reportPath (path: CallPath, rate: number, direct: number[], through: number[], report: (figure: IFigure) => void): void {
  for (const [label, share] of [['p50', 0.5], ['p99', 0.99]] as const) {
    report({ name: `${path} ${label} direct at ${rate}/s`, value: round(quantile(direct, share)), unit: 'ms' })
    report({ name: `${path} ${label} at ${rate}/s`, value: round(quantile(through, share)), unit: 'ms' })
    const hasBound = label === 'p99' && rate === DESIGN_RATE && path !== 'plain-hop'
    const added = round(quantile(through, share) - quantile(direct, share))
    report({ name: `${path} ${label} added at ${rate}/s`, value: added, unit: 'ms', ...(hasBound ? { bound: BOUNDS.addedLatencyP99Ms } : {}) })
  }
}

async function measureThroughput (rig: IRig, options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  for (const path of ['direct', ...pathsOf(rig)] as const) {
    const result = await runBlock(rig, [path], 0, options.quick ? QUICK_CLOSED_LOOP_MS : CLOSED_LOOP_MS)
    const calls = result.latencies[path]?.length ?? 0
    report({ name: `${path} most calls a second, 16 at once`, value: Math.round(calls / result.elapsedMs * 1_000), unit: 'calls/s' })
  }
  const { residentBytes } = await rig.near.usage()
  report({ name: 'resident memory of the near node, without control plane, after the load', value: round(residentBytes / BYTES_PER_MEGABYTE), unit: 'MB' })
}

async function runBlock (rig: IRig, paths: readonly CallPath[], rate: number, durationMs: number): Promise<IBlockResult> {
  rig.caller.send({ kind: 'block', paths, rate, durationMs })
  return await rig.caller.next('block-result')
}

/** Total processor time of both nodes and, with `--baseline`, of the plain hop, in milliseconds. */
async function readProcessorMs (rig: IRig): Promise<number> {
  const usages = await Promise.all([rig.near, rig.far, ...(rig.plain === undefined ? [] : [rig.plain])].map((process) => process.usage()))
  return usages.reduce((sum, usage) => sum + usage.processorMicroseconds, 0) / MICROSECONDS_PER_MS
}

function quantile (values: number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

function round (value: number): number {
  return Math.round(value * 1_000) / 1_000
}

async function freeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise((resolve) => server.close(resolve))
  return `127.0.0.1:${port}`
}
