/** Memory and processor time of documents and of the reports at the collector, for the number of services at the design size. */
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
import { measureUsedHeap } from '../testing/UsedHeap.js'
import { DESIGN } from './fleet/Sizes.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const DOMAINS = 6
const CHANGES = 300
const QUICK_CHANGES = 60
const POOLS = Array.from({ length: 13 }, (_, position) => `pool-${position}`)
const KILOBYTE = 1_024
const MICROSECONDS_PER_SECOND = 1_000_000

type Report = (figure: IFigure) => void

/** Creates version `version` of a service, with a text of about 2.5 KB. */
function createVersion (service: string, version: number, random: RandomService): IVersionedText {
  const note = `${version} ${random.integer(2 ** 31)}`
  return versionOf(service, version, writeDocument({ service, pools: POOLS, targets: POOLS.map((pool) => `${service}/${pool}`), note }))
}

/** Processor time of `action`, in microseconds. */
function measureProcessorTime (action: () => void): number {
  const before = process.cpuUsage()
  action()
  const { user, system } = process.cpuUsage(before)
  return user + system
}

/** Stores all documents and applies changes like a node that pulls each delta and sends it to one peer. */
function measureDocuments (options: IBenchOptions, report: Report): void {
  const random = new RandomService(options.seed)
  const log = new RecordingLog()
  const metrics = new MetricsService()
  const invariants = new InvariantService({ log, metrics })
  const before = measureUsedHeap()
  const held = new HeldDocuments({ log })
  const builder = new SnapshotBuilder({ parser: new DocumentParser(), invariants })
  const snapshots = new SnapshotService({ builder, held, log, metrics, invariants })
  const services = Array.from({ length: DESIGN.services }, (_, position) => `service-${position}`)
  snapshots.applyNewer(services.map((service) => createVersion(service, 1, random)), 0 as Timestamp)
  report({ name: 'memory-per-document', value: (measureUsedHeap() - before) / DESIGN.services / KILOBYTE, unit: 'KB of heap, parsed and as text' })
  const count = options.quick ? QUICK_CHANGES : CHANGES
  const changes = Array.from({ length: count }, (_, position) => createVersion(services[position % services.length], 2, random))
  const time = measureProcessorTime(() => changes.forEach((change) => applyChange(change, held, snapshots)))
  const perChange = time / count
  report({ name: 'documents-in-force', value: snapshots.current.documents.size, unit: 'documents' })
  report({ name: 'processor-per-change', value: perChange, unit: 'us' })
  report({ name: 'processor-at-design-rate', value: corePercentAtDesignRate(perChange), unit: '% of a core' })
  report({ name: 'memory-all-documents', value: (measureUsedHeap() - before) / KILOBYTE / KILOBYTE, unit: 'MB of heap, with one earlier text of each' })
}

function applyChange (change: IVersionedText, held: HeldDocuments, snapshots: SnapshotService): void {
  const base = held.newest(change.service)?.text
  const content = encodeBody(change.text, base)
  const text = decodeBody(content, base, change.hash, { peer: 'bench', maximumBytes: MAXIMUM_DOCUMENT_BYTES })
  snapshots.applyNewer([{ ...change, text }], 0 as Timestamp)
}

/** Processor time at the design rate of changes, in percent of a core. */
function corePercentAtDesignRate (microsecondsPerChange: number): number {
  return microsecondsPerChange * DESIGN.changesPerDay / DESIGN.secondsPerDay / MICROSECONDS_PER_SECOND * 100
}

/**
 * Measures a collector that receives a report of one change from every member of a failure domain at the design size. The digests of the
 * reports are unknown to the collector.
 */
function measureCollector (options: IBenchOptions, report: Report): void {
  const invariants = new InvariantService({ log: new RecordingLog(), metrics: new MetricsService() })
  const before = measureUsedHeap()
  const collector = new ReportCollector(invariants)
  const members = Math.ceil(DESIGN.nodes / DOMAINS)
  const services = Array.from({ length: DESIGN.services }, (_, position) => ({ service: `service-${position}`, version: 1 }))
  for (let member = 0; member < members; member++) collector.receive(createReport(member, 1, services))
  report({ name: 'collector-memory', value: (measureUsedHeap() - before) / KILOBYTE / KILOBYTE, unit: `MB of heap for ${members} members` })
  const changes = options.quick ? 5 : 20
  const time = measureProcessorTime(() => {
    for (let change = 0; change < changes; change++) {
      const versions = [{ service: `service-${change}`, version: 2 }]
      for (let member = 0; member < members; member++) collector.receive(createReport(member, change + 2, versions))
      collector.summarize()
    }
  })
  report({ name: 'collector-processor-per-change', value: time / changes, unit: `us for ${members} members` })
  report({ name: 'collector-processor-at-design-rate', value: corePercentAtDesignRate(time / changes), unit: '% of a core' })
}

function createReport (member: number, number: number, versions: INodeReport['versions']): INodeReport {
  return { node: `node-${member}`, number, isWhole: number === 1, versions, rejections: [], digest: Buffer.from(`digest-${number}`) }
}

/** Payload that a collector receives if every member reports one change, batched by its neighbours or not, or only its digest. */
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
  summary: 'Memory and processor time of 360 documents, and of a collector for one sixth of 6,500 nodes.',
  run
})
