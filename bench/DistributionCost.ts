/** Memory and processor time of the documents and of the collector's reports, at the number of services to design for. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { InvariantService } from '../src/common/InvariantService.js'
import { MetricsService } from '../src/common/MetricsService.js'
import { createNodeId } from '../src/common/Ids.js'
import { RandomService } from '../src/common/RandomService.js'
import type { Timestamp } from '../src/common/Types.js'
import { decodeBody, encodeBody, MAXIMUM_DOCUMENT_BYTES } from '../src/distribution/BodyCodec.js'
import { HeldDocuments } from '../src/distribution/HeldDocuments.js'
import { ReportCollector } from '../src/distribution/reports/ReportCollector.js'
import type { INodeReport } from '../src/distribution/reports/Types.js'
import { groupReports } from '../src/distribution/reports/ReportGroups.js'
import { SnapshotService } from '../src/distribution/SnapshotService.js'
import { DIGEST_BYTES } from '../src/distribution/VersionDigest.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import { SnapshotBuilder } from '../src/documents/SnapshotBuilder.js'
import type { IVersionedText } from '../src/documents/Types.js'
import { encodePeerMessage } from '../src/membership/PeerCodec.js'
import { versionOf, writeDocument } from '../testing/documents/DocumentText.js'
import { RecordingLog } from '../testing/RecordingLog.js'
import { DESIGN } from './fleet/Sizes.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const DOMAINS = 6
const CHANGES = 300
const QUICK_CHANGES = 60
const POOLS = Array.from({ length: 13 }, (_, position) => `pool-${position}`)
const KILOBYTE = 1_024
const MICROSECONDS_PER_SECOND = 1_000_000

type Report = (figure: IFigure) => void

/** Version `version` of a service; its text is about 2.5 KB. */
function createVersion (service: string, version: number, random: RandomService): IVersionedText {
  const note = `${version} ${random.integer(2 ** 31)}`
  return versionOf(service, version, writeDocument({ service, pools: POOLS, targets: POOLS.map((pool) => `${service}/${pool}`), note }))
}

/** Bytes of the heap in use after a collection. */
function usedHeap (): number {
  setFlagsFromString('--expose_gc')
  ;(runInNewContext('gc') as () => void)()
  return process.memoryUsage().heapUsed
}

/** Processor time of `action` in microseconds. */
function processorTime (action: () => void): number {
  const before = process.cpuUsage()
  action()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Holds every document and applies changes as a node does that pulled a delta and serves it once. */
function measureDocuments (options: IBenchOptions, report: Report): void {
  const random = new RandomService(options.seed)
  const log = new RecordingLog()
  const metrics = new MetricsService()
  const invariants = new InvariantService({ log, metrics })
  const before = usedHeap()
  const held = new HeldDocuments({ log })
  const builder = new SnapshotBuilder({ parser: new DocumentParser(), invariants })
  const snapshots = new SnapshotService({ builder, held, log, metrics, invariants })
  const services = Array.from({ length: DESIGN.services }, (_, position) => `service-${position}`)
  snapshots.applyNewer(services.map((service) => createVersion(service, 1, random)), 0 as Timestamp)
  report({ name: 'memory-per-document', value: (usedHeap() - before) / DESIGN.services / KILOBYTE, unit: 'KB of heap, parsed and as text' })
  const count = options.quick ? QUICK_CHANGES : CHANGES
  const changes = Array.from({ length: count }, (_, position) => createVersion(services[position % services.length], 2, random))
  const time = processorTime(() => changes.forEach((change) => applyChange(change, held, snapshots)))
  const perChange = time / count
  report({ name: 'documents-in-force', value: snapshots.current.documents.size, unit: 'documents' })
  report({ name: 'processor-per-change', value: perChange, unit: 'us' })
  report({ name: 'processor-at-design-rate', value: shareOfCore(perChange), unit: '% of a core' })
  report({ name: 'memory-all-documents', value: (usedHeap() - before) / KILOBYTE / KILOBYTE, unit: 'MB of heap, with one earlier text of each' })
}

function applyChange (change: IVersionedText, held: HeldDocuments, snapshots: SnapshotService): void {
  const base = held.newest(change.service)?.text
  const content = encodeBody(change.text, base)
  const text = decodeBody(content, base, change.hash, { peer: 'bench', maximumBytes: MAXIMUM_DOCUMENT_BYTES })
  snapshots.applyNewer([{ ...change, text }], 0 as Timestamp)
}

/** Percent of a core at the design rate of changes. */
function shareOfCore (microsecondsPerChange: number): number {
  return microsecondsPerChange * DESIGN.changesPerDay / DESIGN.secondsPerDay / MICROSECONDS_PER_SECOND * 100
}

/** One change reported by every member of a failure domain of the size to design for, whom the collector cannot know by digest. */
function measureCollector (options: IBenchOptions, report: Report): void {
  const invariants = new InvariantService({ log: new RecordingLog(), metrics: new MetricsService() })
  const before = usedHeap()
  const collector = new ReportCollector(invariants)
  const members = Math.ceil(DESIGN.nodes / DOMAINS)
  const services = Array.from({ length: DESIGN.services }, (_, position) => ({ service: `service-${position}`, version: 1 }))
  for (let member = 0; member < members; member++) collector.receive(createReport(member, 1, services))
  report({ name: 'collector-memory', value: (usedHeap() - before) / KILOBYTE / KILOBYTE, unit: `MB of heap for ${members} members` })
  const changes = options.quick ? 5 : 20
  const time = processorTime(() => {
    for (let change = 0; change < changes; change++) {
      const versions = [{ service: `service-${change}`, version: 2 }]
      for (let member = 0; member < members; member++) collector.receive(createReport(member, change + 2, versions))
      collector.summarize()
    }
  })
  report({ name: 'collector-processor-per-change', value: time / changes, unit: `us for ${members} members` })
  report({ name: 'collector-processor-at-design-rate', value: shareOfCore(time / changes), unit: '% of a core' })
}

function createReport (member: number, number: number, versions: INodeReport['versions']): INodeReport {
  return { node: `node-${member}`, number, isWhole: number === 1, versions, rejections: [], digest: Buffer.from(`digest-${number}`) }
}

/** Payload that reaches a collector when every member reports one change, gathered into messages as its neighbours do. */
function measureReportBytes (report: Report): void {
  const members = Math.ceil(DESIGN.nodes / DOMAINS)
  const collector = createNodeId()
  const createReports = (versions: INodeReport['versions']): INodeReport[] => Array.from({ length: members }, () => {
    return { ...createReport(0, 1_000, versions), node: createNodeId(), digest: Buffer.alloc(DIGEST_BYTES) }
  })
  const changes = createReports([{ service: 'service-100', version: 100 }])
  const grouped = encodePeerMessage({ reportBatch: { collector, groups: groupReports(changes) } }).length
  const digests = encodePeerMessage({ reportBatch: { collector, groups: groupReports(createReports([])) } }).length
  const messages = changes.map((each) => encodePeerMessage({ reportBatch: { collector, groups: groupReports([each]) } }))
  const single = messages.reduce((sum, message) => sum + message.length, 0)
  report({ name: 'collector-bytes-per-change', value: grouped, unit: `payload B for ${members} members, all in one message` })
  report({ name: 'collector-bytes-per-change-apart', value: single, unit: `payload B for ${members} members, a message each` })
  report({ name: 'collector-bytes-per-digest-round', value: digests, unit: `payload B for ${members} members, all in one message` })
}

async function run (options: IBenchOptions, report: Report): Promise<void> {
  measureDocuments(options, report)
  measureCollector(options, report)
  measureReportBytes(report)
}

export const DISTRIBUTION_COST: IBench = Object.freeze({
  name: 'distribution-cost',
  summary: 'Memory and processor time of 360 documents and of a collector for a sixth of 6,500 nodes.',
  run
})
