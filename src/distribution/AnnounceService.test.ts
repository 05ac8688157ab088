/** Convergence of announcement and pull with lost, reordered, duplicated and delayed messages, and with hostile peers. */
import { deflateRawSync } from 'node:zlib'
import { expect } from 'chai'
import * as fc from 'fast-check'
import { DistributionNode } from '../../testing/distribution/DistributionNode.js'
import { createNodeRecord, FakeMembers } from '../../testing/distribution/FakeMembership.js'
import { FakeNetwork } from '../../testing/distribution/FakeNetwork.js'
import { versionOf, writeDocument } from '../../testing/documents/DocumentText.js'
import { ManualClock, settlePromises } from '../../testing/ManualClock.js'
import { hashContent } from '../common/Ids.js'
import type { Timestamp } from '../common/Types.js'
import { DocumentParser } from '../documents/DocumentParser.js'
import type { IVersionedText } from '../documents/Types.js'
import { encodeVersionEntry } from './VersionEntryCodec.js'

const SEED = 20_261_204

/** Clock whose timers fire late by `stall`, as after a pause of the process. */
class StallingClock extends ManualClock {
  public stall = 0

  public override now (): Timestamp {
    return super.now() + this.stall as Timestamp
  }
}

/** Nodes with their clock and network. */
class Group {
  public readonly clock = new StallingClock()
  public readonly network = new FakeNetwork()
  public readonly members = new FakeMembers()
  public readonly nodes: DistributionNode[]

  constructor (count: number, domains: readonly string[] = ['one'], parsers: ReadonlyMap<number, DocumentParser> = new Map()) {
    const { members, clock } = this
    this.nodes = Array.from({ length: count }, (_, position) => {
      const [domain, region = 'east'] = domains[position % domains.length].split('/')
      return new DistributionNode({ record: createNodeRecord(`node-${position}`, domain, region), members, clock, seed: position, parser: parsers.get(position) })
    })
    for (const node of this.nodes) node.announce.start()
  }

  public connect (left: number, right: number): void {
    this.network.connect(this.nodes[left].overlay, this.nodes[right].overlay)
  }

  /** Advances the clock in small steps and delivers all messages in order. */
  public async run (duration: number): Promise<void> {
    for (let passed = 0; passed < duration; passed += 10) {
      await this.clock.advance(10)
      this.network.deliverAll()
      await settlePromises()
    }
  }

  public stop (): void {
    for (const node of this.nodes) node.announce.stop()
  }

  public get inForce (): string[] {
    return this.nodes.map((node) => node.inForce)
  }
}

/** Version `version` of the pair of services `base` and `user`; `user` refers to a pool that only the same version of `base` exports. */
function pairVersion (service: 'base' | 'user', version: number): IVersionedText {
  if (service === 'base') return versionOf('base', version, writeDocument({ service: 'base', pools: ['endpoints', `pool-${version}`], note: String(version) }))
  return versionOf('user', version, writeDocument({ service: 'user', targets: [`base/pool-${version}`] }))
}

type Step =
  | { readonly kind: 'accept', readonly node: number, readonly service: 'base' | 'user' }
  | { readonly kind: 'deliver' | 'drop' | 'repeat', readonly position: number }
  | { readonly kind: 'pass', readonly duration: number }

const STEP: fc.Arbitrary<Step> = fc.oneof(
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('accept' as const), node: fc.nat(3), service: fc.constantFrom('base' as const, 'user' as const) }) },
  { weight: 8, arbitrary: fc.record({ kind: fc.constantFrom('deliver' as const, 'deliver' as const, 'drop' as const, 'repeat' as const), position: fc.nat(30) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('pass' as const), duration: fc.integer({ min: 1, max: 1_500 }) }) }
)

/** Applies one step; `versions` counts the accepted versions of each service. */
async function applyStep (group: Group, versions: { base: number, user: number }, step: Step): Promise<void> {
  const { network, nodes } = group
  if (step.kind === 'pass') return group.clock.advance(step.duration)
  if (step.kind === 'accept') {
    if (step.service === 'user' && versions.user >= versions.base) return
    versions[step.service]++
    nodes[step.node].applyNewer(pairVersion(step.service, versions[step.service]))
  } else if (network.pending.length > 0) {
    network[step.kind](step.position % network.pending.length)
  }
  await settlePromises()
}

describe('AnnounceService', () => {
  it('brings all nodes to the newest versions and never applies a lower one while messages are lost, duplicated and reordered', async () => {
    await fc.assert(fc.asyncProperty(fc.array(STEP, { minLength: 20, maxLength: 80 }), async (steps) => {
      const group = new Group(4)
      for (const [left, right] of [[0, 1], [1, 2], [2, 3], [0, 2]]) group.connect(left, right)
      const versions = { base: 0, user: 0 }
      const half = steps.length / 2
      for (const step of steps.slice(0, half)) await applyStep(group, versions, step)
      // The newest `user` may need a pool that the newest `base` no longer has, so the last versions match each other.
      const last = Math.max(versions.base, versions.user) + 1
      group.nodes[0].applyNewer(pairVersion('base', last))
      group.nodes[3].applyNewer(pairVersion('user', last))
      for (const step of steps.slice(half)) if (step.kind !== 'accept') await applyStep(group, versions, step)
      await group.run(12_000)
      group.stop()
      expect(group.inForce).to.deep.equal(Array(4).fill(`base=${last} user=${last}`))
      for (const node of group.nodes) {
        expect(node.hasVersionDecreased, node.options.record.id).to.equal(false)
        expect(node.held.digest).to.equal(group.nodes[0].held.digest)
        expect(node.invariants.breaches).to.equal(0)
      }
    }), { seed: SEED, numRuns: 25 })
  })

  it('pulls each body once per node, and as a delta if the sender has the base', async () => {
    const group = new Group(6)
    for (const [left, right] of [[0, 1], [0, 2], [1, 2], [1, 3], [2, 3], [3, 4], [4, 5], [2, 5]]) group.connect(left, right)
    group.nodes[0].applyNewer(pairVersion('base', 1))
    await group.run(1_000)
    const before = { pulls: group.network.sent.get('pull'), bodies: group.network.sent.get('body') }
    group.nodes[5].applyNewer(pairVersion('base', 2))
    await group.run(1_000)
    group.stop()
    expect(before).to.deep.equal({ pulls: 5, bodies: 5 })
    expect(group.network.sent.get('body')).to.equal(10)
    const served = await Promise.all(group.nodes.map((node) => node.metrics.registry.getSingleMetricAsString('savoryknot_pulls_served_total')))
    expect(sumOf(served, 'form="delta"')).to.equal(5)
  })

  it('transfers the complete body if the sender does not have the base of the receiver', async () => {
    const group = new Group(2)
    const [left, right] = group.nodes
    left.applyNewer(pairVersion('base', 2))
    right.applyNewer(versionOf('base', 1, writeDocument({ service: 'base', note: 'other history' })))
    group.connect(0, 1)
    await group.run(3_000)
    group.stop()
    expect(group.inForce).to.deep.equal(['base=2', 'base=2'])
  })

  it('sends each body once between two regions, whichever node has the version first', async () => {
    const domains = ['a/east', 'b/east', 'c/west', 'd/west']
    const group = new Group(8, domains)
    group.members.holders.set('gateway', group.nodes.map((node) => node.options.record.id))
    for (const [left, right] of [[0, 4], [1, 5], [2, 6], [3, 7]]) group.connect(left, right)
    for (let left = 0; left < 8; left++) {
      for (let right = left + 1; right < 8; right++) if (left % 4 !== right % 4) group.connect(left, right)
    }
    for (let version = 1; version <= 8; version++) {
      group.nodes[version - 1].applyNewer(pairVersion('base', version))
      await group.run(1_000)
    }
    group.stop()
    const received = await Promise.all(group.nodes.map((node) => node.metrics.registry.getSingleMetricAsString('savoryknot_bodies_received_total')))
    expect(group.inForce).to.deep.equal(Array(8).fill('base=8'))
    expect(sumOf(received, 'from_region="east",to_region="west"')).to.equal(4)
    expect(sumOf(received, 'from_region="west",to_region="east"')).to.equal(4)
  })

  it('reads messages that arrived during a pause of the process before it pulls from another region', async () => {
    const group = new Group(3, ['a/east', 'b/west', 'b/west'])
    const [far, first, second] = group.nodes
    group.members.holders.set('gateway', [first, second].map((node) => node.options.record.id))
    for (const [left, right] of [[0, 1], [0, 2], [1, 2]]) group.connect(left, right)
    await group.run(100)
    far.applyNewer(pairVersion('base', 1))
    const farLink = second.overlay.links[0].other
    await group.clock.advance(1)
    group.network.deliver(group.network.pending.findIndex((message) => message.to === second.overlay.links[0]))
    await settlePromises()
    group.clock.stall = 60_000
    await group.clock.advance(600)
    const pulled = group.network.pending.filter((message) => message.to === farLink).length
    await group.run(2_000)
    const received = await second.metrics.registry.getSingleMetricAsString('savoryknot_bodies_received_total')
    group.stop()
    expect(pulled, 'digests only').to.be.at.most(1)
    expect(group.inForce).to.deep.equal(Array(3).fill('base=1'))
    expect(sumOf([received], 'from_region="east"')).to.equal(0)
  })

  it('keeps its version if a peer sends hostile messages, and accepts the genuine body from another peer', async () => {
    const group = new Group(3)
    const [victim, hostile, honest] = group.nodes
    victim.applyNewer(pairVersion('base', 1))
    group.connect(0, 1)
    await group.run(100)
    const link = hostile.overlay.links[0]
    const wanted = pairVersion('base', 2)
    const bomb = deflateRawSync(Buffer.alloc(50_000_000))
    const entry = encodeVersionEntry(wanted)
    link.send({ body: { entry, baseVersion: 0, content: deflateRawSync(wanted.text) } })
    link.send({ announce: { entries: [entry, { ...entry, service: '../../x' }, { ...entry, hash: Buffer.alloc(5) }, { ...entry, version: -3 }] } })
    await group.run(30)
    link.send({ body: { entry, baseVersion: 0, content: bomb } })
    link.send({ body: { entry, baseVersion: 1, content: Buffer.from('nonsense') } })
    link.send({ body: { entry: { ...entry, service: 'unknown' }, baseVersion: 0, content: deflateRawSync('x') } })
    link.send({ body: { entry: null, baseVersion: 7, content: Buffer.alloc(0) } })
    link.send({ pull: { service: 'nobody', wantedVersion: 9, baseVersion: 1, baseHash: Buffer.alloc(32) } })
    link.send({ versionVector: { entries: [{ service: 'base', version: Number.MAX_SAFE_INTEGER, hash: Buffer.alloc(1) }] } })
    await group.run(50)
    expect(victim.inForce).to.equal('base=1')
    expect(victim.countEvents('peer-message-malformed')).to.equal(4)
    expect(victim.countEvents('body-refused')).to.be.greaterThan(3)
    honest.applyNewer(wanted)
    group.connect(0, 2)
    await group.run(6_000)
    group.stop()
    expect(victim.inForce).to.equal('base=2')
    expect(victim.invariants.breaches).to.equal(0)
  })

  it('forwards a version in a newer format that it rejects itself, and keeps the older version in force', async () => {
    const newerText = writeDocument({ service: 'base', note: 'newer' }).replace('format = 1', 'format = 2')
    const newSoftware = new class extends DocumentParser {
      public override parse (text: string): ReturnType<DocumentParser['parse']> {
        return super.parse(text.replace('format = 2', 'format = 1'))
      }
    }()
    const group = new Group(3, ['one'], new Map([[0, newSoftware], [2, newSoftware]]))
    group.connect(0, 1)
    group.connect(1, 2)
    group.nodes[0].applyNewer(pairVersion('base', 1))
    await group.run(500)
    group.nodes[0].applyNewer(versionOf('base', 2, newerText))
    await group.run(1_000)
    const vectors = group.network.sent.get('versionVector') ?? 0
    await group.run(10_000)
    group.stop()
    expect(group.inForce).to.deep.equal(['base=2', 'base=1', 'base=2'])
    expect(group.nodes[1].snapshots.rejections).to.have.length(1)
    expect(group.nodes[1].snapshots.rejections[0]).to.include({ isWaiting: false })
    expect(group.nodes[1].countEvents('version-rejected')).to.equal(1)
    expect(group.network.sent.get('versionVector') ?? 0, 'a rejection must not cause further version vectors').to.equal(vectors)
  })

  it('keeps the first of two contents with the same version, and logs the conflict', () => {
    const group = new Group(1)
    const [node] = group.nodes
    node.applyNewer(pairVersion('base', 1))
    node.applyNewer({ ...pairVersion('base', 1), hash: hashContent('other'), text: 'other' })
    node.snapshots.applyNewer([pairVersion('base', 1)], 0 as Timestamp)
    group.stop()
    expect(node.inForce).to.equal('base=1')
    expect(node.countEvents('version-conflict')).to.equal(1)
  })
})

/** Sum of the samples of all nodes whose line contains `labels`. */
function sumOf (metrics: readonly string[], labels: string): number {
  const lines = metrics.flatMap((text) => text.split('\n')).filter((line) => line.includes(labels))
  return lines.reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0)
}
