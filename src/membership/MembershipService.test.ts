/** The member view after records in any order, and the endpoints, roles and overlay targets derived from it. */
import { expect } from 'chai'
import fc from 'fast-check'
import { MetricsService } from '../common/MetricsService.js'
import { RandomService } from '../common/RandomService.js'
import { MembershipService } from './MembershipService.js'
import { DEFAULT_OVERLAY_SETTINGS } from './Options.js'
import { OverlayTargets } from './OverlayTargets.js'
import { RoleService } from './RoleService.js'
import { ManualClock } from '../../testing/ManualClock.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { createRecord } from '../../testing/membership/Records.js'
import type { FailureDomain, Milliseconds, NodeId, ServiceName } from '../common/Types.js'
import type { INodeRecord, MemberState } from './Types.js'

const SEED = 20_261_204
const OWN_DOMAIN = 'domain-0' as FailureDomain
const STATES: readonly MemberState[] = ['alive', 'suspect', 'dead', 'left']

function createService (self: INodeRecord): MembershipService {
  return new MembershipService({
    self, clock: new ManualClock(), random: new RandomService(SEED), log: new RecordingLog(), metrics: new MetricsService()
  })
}

/** Any record of a member in a small mesh. */
const anyRecord = fc.record({
  number: fc.integer({ min: 1, max: 6 }),
  incarnation: fc.integer({ min: 0, max: 3 }),
  sequence: fc.integer({ min: 0, max: 3 }),
  state: fc.constantFrom(...STATES)
}).map(({ number, ...change }) => createRecord(number, number % 3, change))

describe('MembershipService', () => {
  it('converges to the same view, digest, endpoints and roles regardless of order, batching and repetition of records', () => {
    const histories = fc.array(anyRecord, { minLength: 1, maxLength: 40 }).chain((history) => fc.tuple(
      fc.constant(history), fc.shuffledSubarray(history, { minLength: history.length }), fc.integer({ min: 1, max: 8 })
    ))
    fc.assert(fc.property(histories, ([history, reordered, batch]) => {
      const ordered = createService(createRecord(0, 0))
      const other = createService(createRecord(0, 0))
      for (const record of history) ordered.merge([record], ordered.self.endpoints[0]?.since ?? 0 as never)
      for (let start = 0; start < reordered.length; start += batch) other.merge(reordered.slice(start, start + batch), 0 as never)
      other.merge(history, 0 as never)
      expect([...other.members.values()].sort(byId)).to.deep.equal([...ordered.members.values()].sort(byId))
      expect(other.digest.combinedDigest()).to.deep.equal(ordered.digest.combinedDigest())
      expect(endpointNodes(other)).to.deep.equal(endpointNodes(ordered))
      expect(rolesOf(other)).to.deep.equal(rolesOf(ordered))
    }), { seed: SEED, numRuns: 300 })
  })

  it('returns only serving endpoints of nodes that are alive or suspect, and replaces the array instead of changing it', () => {
    const service = createService(createRecord(0, 0))
    const name = 'status' as ServiceName
    const alive = createRecord(1, 0)
    service.merge([alive], 0 as never)
    const before = service.endpoints(name)
    service.suspect(alive.id, 0 as never)
    const during = service.endpoints(name)
    service.declareDead(alive.id, 0 as never)
    expect(before.map((endpoint) => endpoint.isReachable)).to.deep.equal([true])
    expect(during.map((endpoint) => endpoint.isReachable)).to.deep.equal([false])
    expect(service.endpoints(name)).to.deep.equal([])
  })

  it('declares an earlier process at its own address dead, and refutes a reported death unless the incarnation is implausible', () => {
    const service = createService(createRecord(0, 0))
    const older = createRecord(1, 0, { peerAddress: service.self.peerAddress })
    service.merge([older], 0 as never)
    expect(service.members.get(older.id)?.state).to.equal('dead')
    service.merge([{ ...service.self, state: 'dead', incarnation: 7 }], 0 as never)
    expect(service.self).to.include({ state: 'alive', incarnation: 8 })
    service.merge([{ ...service.self, state: 'dead', incarnation: Number.MAX_SAFE_INTEGER }], 0 as never)
    expect(service.self).to.include({ state: 'alive', incarnation: 8 })
  })

  it('refuses members above its limit and removes dead members after the retention', async () => {
    const clock = new ManualClock()
    const required = { clock, random: new RandomService(SEED), log: new RecordingLog(), metrics: new MetricsService() }
    const settings = { maximumMembers: 3, retention: 1_000 as Milliseconds }
    const service = new MembershipService({ ...required, self: createRecord(0, 0), settings })
    service.start()
    service.merge([1, 2, 3, 4].map((number) => createRecord(number, 0, { state: 'dead' })), clock.now())
    expect(service.members.size).to.equal(3)
    await clock.advance(2_000)
    expect(service.members.size).to.equal(1)
    service.stop()
  })

  it('links the members of a failure domain into one graph of bounded degree after random deaths', () => {
    const sizes = fc.record({ size: fc.integer({ min: 2, max: 60 }), kills: fc.array(fc.integer({ min: 0, max: 59 }), { maxLength: 40 }) })
    fc.assert(fc.property(sizes, ({ size, kills }) => {
      const all = Array.from({ length: size }, (_, number) => createRecord(number, 0))
      const alive = all.filter((_, number) => !kills.includes(number))
      const neighbours = new Map(alive.map((record) => [record.id, new Set<NodeId>()]))
      for (const record of alive) {
        for (const target of targetsOf(record, all, alive)) {
          neighbours.get(record.id)?.add(target)
          neighbours.get(target)?.add(record.id)
        }
      }
      expect(countReached(neighbours), 'connected').to.equal(alive.length)
      const degrees = [...neighbours.values()].map((set) => set.size)
      expect(Math.max(0, ...degrees), 'degree').to.be.at.most(DEFAULT_OVERLAY_SETTINGS.maximumLocalLinks)
    }), { seed: SEED, numRuns: 60 })
  })
})

function byId (first: INodeRecord, second: INodeRecord): number {
  return first.id < second.id ? -1 : 1
}

function endpointNodes (service: MembershipService): readonly string[] {
  return service.endpoints('status' as ServiceName).map((endpoint) => endpoint.node).sort()
}

function rolesOf (membership: MembershipService): readonly string[] {
  const roles = new RoleService({ membership, clock: new ManualClock() })
  return (['source-reader', 'gateway', 'report-collector'] as const).map((role) => roles.holders(role, OWN_DOMAIN).join())
}

/** Link targets of a node after it received the records of all members. */
function targetsOf (self: INodeRecord, all: readonly INodeRecord[], alive: readonly INodeRecord[]): readonly NodeId[] {
  const membership = createService(self)
  membership.merge(all.map((record) => alive.includes(record) ? record : { ...record, state: 'dead' }), 0 as never)
  const roles = new RoleService({ membership, clock: new ManualClock() })
  return new OverlayTargets({ membership, roles, random: new RandomService(SEED), settings: DEFAULT_OVERLAY_SETTINGS }).localTargets()
}

/** Number of nodes that can be reached from the first one. */
function countReached (neighbours: ReadonlyMap<NodeId, ReadonlySet<NodeId>>): number {
  const reached = new Set<NodeId>()
  const queue = [...neighbours.keys()].slice(0, 1)
  while (queue.length > 0) {
    const id = queue.pop() as NodeId
    if (reached.has(id)) continue
    reached.add(id)
    queue.push(...neighbours.get(id) ?? [])
  }
  return reached.size
}
