/** Start-up time and resident memory of an idle `savoryknotd` process. */
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { findFreePorts } from '../testing/demonstration/FreePorts.js'
import { NodeProcess } from '../testing/demonstration/NodeProcess.js'
import { PlatformStandIn } from '../testing/platform/PlatformStandIn.js'
import { BOUNDS } from './Bounds.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const STARTS = 5
const QUICK_STARTS = 2
/** Delay between readiness and the measurement of the memory. */
const REST_MS = 5_000
const QUICK_REST_MS = 2_000
const KIBIBYTES_PER_MEBIBYTE = 1_024
const RESIDENT_PATTERN = /^VmRSS:\s+(\d+) kB$/m

/** Resident memory of a process in MiB. */
async function readResidentMebibytes (processId: number): Promise<number> {
  const status = await readFile(`/proc/${processId}/status`, 'utf8')
  return Number(RESIDENT_PATTERN.exec(status)?.[1] ?? NaN) / KIBIBYTES_PER_MEBIBYTE
}

async function run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'savoryknot-rest-'))
  const platform = new PlatformStandIn({})
  await platform.start()
  const startTimes: number[] = []
  const memories: number[] = []
  for (let start = 0; start < (options.quick ? QUICK_STARTS : STARTS); start++) {
    const node = await createNode(folder, platform.url)
    startTimes.push(await node.startUntilReady())
    await new Promise((resolve) => setTimeout(resolve, options.quick ? QUICK_REST_MS : REST_MS))
    memories.push(await readResidentMebibytes(node.processId))
    await node.kill()
  }
  await platform.stop()
  await rm(folder, { recursive: true })
  report({ name: 'start until ready, longest', value: Math.max(...startTimes), unit: 'ms' })
  const resident = Math.round(Math.max(...memories))
  report({ name: 'resident memory at rest, highest', value: resident, unit: 'MiB', bound: BOUNDS.residentMegabytes })
}

async function createNode (folder: string, platformUrl: string): Promise<NodeProcess> {
  const [callerPort = 0, gatePort = 0, peerPort = 0, operatorPort = 0, metricsPort = 0] = await findFreePorts(5)
  const ports = { callerPort, gatePort, peerPort, operatorPort, metricsPort }
  return new NodeProcess({ ...ports, name: 'rest', failureDomain: 'darkhan-1', region: 'darkhan', upstreams: [], platformUrl }, folder)
}

export const AT_REST: IBench = {
  name: 'at-rest',
  summary: 'Start-up time and resident memory of one idle process.',
  run
}
