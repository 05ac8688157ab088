/** Processor time that a node needs to apply one changed document. */
import { performance } from 'node:perf_hooks'
import { InvariantService } from '../src/common/InvariantService.js'
import { MetricsService } from '../src/common/MetricsService.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import { SnapshotBuilder } from '../src/documents/SnapshotBuilder.js'
import type { ISnapshot, IVersionedText } from '../src/documents/Types.js'
import { versionOf, writeDocument } from '../testing/documents/DocumentText.js'
import { BOUNDS } from './Bounds.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const SERVICES = [45, 90, 180, 360]
const QUICK_SERVICES = [360]
const CHANGES = 2_000
const QUICK_CHANGES = 400
const WARM_UP_CHANGES = 200
/** Number of routes in each document; results in a size of about 2.5 KB. */
const ROUTES = 16
const CHANGES_PER_DAY = 4_500
const MILLISECONDS_PER_DAY = 86_400_000
const MICROSECONDS_PER_MILLISECOND = 1_000
const PERCENT = 100

/** Creates a document that references the next service, so that every build has to check references. */
function writeVersion (service: number, services: number, version: number): IVersionedText {
  const next = `service-${(service + 1) % services}`
  const targets = Array.from({ length: ROUTES }, () => `${next}/endpoints`)
  return versionOf(`service-${service}`, version, writeDocument({ service: `service-${service}`, targets, note: `version ${version}` }))
}

/** Applies one changed document at a time. */
class SnapshotBuild implements IBench {
  public readonly name = 'snapshot-build'
  public readonly summary = 'Processor time to parse, check and apply one changed document among 45 to 360 services'

  public async run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
    for (const services of options.quick ? QUICK_SERVICES : SERVICES) {
      const duration = measure(services, options.quick ? QUICK_CHANGES : CHANGES)
      report({ name: `apply-${services}`, value: duration * MICROSECONDS_PER_MILLISECOND, unit: 'us' })
      const percent = duration * CHANGES_PER_DAY / MILLISECONDS_PER_DAY * PERCENT
      report({ name: `core-${services}`, value: percent, unit: '%', bound: BOUNDS.controlCorePercent, direction: 'at-most' })
    }
  }
}

/** Mean duration of applying one change, in milliseconds. */
function measure (services: number, changes: number): number {
  const invariants = new InvariantService({ log: { log: () => {} }, metrics: new MetricsService() })
  const builder = new SnapshotBuilder({ parser: new DocumentParser(), invariants })
  const first = Array.from({ length: services }, (_, service) => writeVersion(service, services, 1))
  let snapshot: ISnapshot = builder.build(builder.empty, first).snapshot
  if (snapshot.documents.size !== services) throw new Error('the first snapshot does not contain all documents')
  let startedAt = 0
  for (let change = 0; change < WARM_UP_CHANGES + changes; change++) {
    if (change === WARM_UP_CHANGES) startedAt = performance.now()
    const candidate = writeVersion(change % services, services, 2 + Math.floor(change / services))
    const { snapshot: next } = builder.build(snapshot, [candidate])
    if (next === snapshot) throw new Error('a change was not applied')
    snapshot = next
  }
  return (performance.now() - startedAt) / changes
}

export const SNAPSHOT_BUILD: IBench = new SnapshotBuild()
