/** Guards nodes against peers that violate the protocol, deliberately or because of a fault. */
import { expect } from 'chai'
import fc from 'fast-check'
import { createHello } from './Handshake.js'
import { MemoryFleet, type IMemoryNode } from '../../testing/membership/MemoryFleet.js'
import { createRecord } from '../../testing/membership/Records.js'
import type { FailureDomain, NetworkAddress } from '../common/Types.js'
import type { PeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { MemoryChannel } from '../../testing/membership/MemoryTransport.js'

const SEED = 20_261_204
const HOSTILE_ADDRESS = '10.0.9.9:7000' as NetworkAddress

const anyText = fc.oneof(fc.string({ maxLength: 200 }), fc.constantFrom('', '__proto__', 'domain-0', '10.0.0.1:7000', '0'.repeat(24)))
const anyCount = fc.oneof(fc.nat(), fc.constantFrom(0, 2 ** 32 - 1, Number.MAX_SAFE_INTEGER, 2 ** 63))
const anyBytes = fc.uint8Array({ maxLength: 3_000 }).map((bytes) => Buffer.from(bytes))
const anyState = fc.integer({ min: 0, max: 9 })

const anyEndpoint = fc.record({ id: anyText, service: anyText, state: anyState, slots: fc.nat(), since: anyCount })
const anyRecord = fc.record({
  id: anyText,
  failureDomain: anyText,
  region: anyText,
  peerAddress: anyText,
  gateAddress: anyText,
  incarnation: anyCount,
  sequence: anyCount,
  state: anyState,
  endpoints: fc.array(anyEndpoint, { maxLength: 80 }),
  software: anyText
})
const anyEntry = fc.record({ id: anyText, incarnation: anyCount, sequence: anyCount, state: anyState })

/** Messages of every kind that the membership module reads. */
const anyMessage = fc.oneof(
  fc.record({ hello: fc.record({ protocol: fc.nat(), self: fc.option(anyRecord), purpose: anyText }) }),
  fc.record({ joinRefusal: fc.record({ reason: anyText, otherAddresses: fc.array(anyText) }) }),
  fc.record({ ping: fc.record({ number: anyCount }) }),
  fc.record({ nodeRecords: fc.record({ records: fc.array(anyRecord, { maxLength: 5 }) }) }),
  fc.record({ digest: fc.record({ documents: anyBytes, members: anyBytes }) }),
  fc.record({ memberVector: fc.record({ entries: fc.array(anyEntry), bucketDigests: anyBytes, buckets: fc.array(fc.nat()) }) }),
  fc.record({ memberPull: fc.record({ ids: fc.array(anyText) }) }),
  fc.record({ broadcast: fc.record({ origin: anyText, number: anyCount, topic: anyText, payload: anyBytes, failureDomain: anyText }) }),
  fc.record({
    broadcast: fc.record({
      origin: anyText, number: fc.nat(), topic: fc.constant('silent-failure-domains'), payload: anyText.map((text) => Buffer.from(text)), failureDomain: anyText
    })
  }),
  fc.record({ linkClose: fc.record({ reason: anyText }) })
) as fc.Arbitrary<PeerMessage>

describe('Membership with a hostile peer', () => {
  let fleet: MemoryFleet

  beforeEach(async () => {
    fleet = new MemoryFleet(SEED)
    await fleet.add(0, 3)
    expect(await fleet.advanceUntil(() => fleet.areViewsEqual(), 30_000)).to.be.a('number')
  })

  afterEach(async () => { await fleet.stop() })

  async function open (): Promise<MemoryChannel> {
    const transport = fleet.network.createTransport(HOSTILE_ADDRESS, 'domain-0' as FailureDomain)
    const dialling = transport.dial((fleet.nodes[0] as IMemoryNode).address)
    await fleet.clock.advance(20)
    return await dialling as MemoryChannel
  }

  it('a node neither fails nor changes its records of other members, whatever a peer sends with or without a hello', async () => {
    const victim = fleet.nodes[0] as IMemoryNode
    const honest = fleet.nodes.map((node) => node.membership.self.id)
    const runs = fc.record({ isIntroduced: fc.boolean(), messages: fc.array(anyMessage, { minLength: 1, maxLength: 8 }) })
    await fc.assert(fc.asyncProperty(runs, async ({ isIntroduced, messages }) => {
      const channel = await open()
      if (isIntroduced) channel.send(createHello(createRecord(99, 0, { peerAddress: HOSTILE_ADDRESS }), true))
      for (const message of messages) channel.send(message)
      await fleet.clock.advance(30)
      channel.dispose()
      await fleet.clock.advance(30)
      expect(honest.every((id) => victim.membership.members.get(id)?.state === 'alive')).to.equal(true)
      expect(victim.log.events.filter((event) => event.name === 'peer-message-failed')).to.deep.equal([])
    }), { seed: SEED, numRuns: 150 })
    expect(victim.membership.members.size, 'members').to.be.at.most(10)
  })

  it('a node closes the channel of a peer that sends undecodable bytes, and of one that sends no heartbeats after its hello', async () => {
    for (const bytes of [Buffer.from([0xff, 0xff, 0xff]), undefined]) {
      const channel = await open()
      let isClosed = false
      channel.onClosed(() => { isClosed = true })
      if (bytes !== undefined) channel.sendBytes(bytes)
      else channel.send(createHello(createRecord(99, 0, { peerAddress: HOSTILE_ADDRESS }), true))
      await fleet.clock.advance(2_500)
      expect(isClosed).to.equal(true)
    }
  })

  it('members refute a peer that reports them as dead while they run', async () => {
    const channel = await open()
    channel.send(createHello(createRecord(99, 0, { peerAddress: HOSTILE_ADDRESS }), true))
    const accused = fleet.nodes.map((node) => ({ ...createRecord(0, 0), ...node.membership.self, state: 'DEAD' as const, endpoints: [] }))
    channel.send({ nodeRecords: { records: accused } })
    await fleet.clock.advance(1_000)
    const honest = fleet.nodes.map((node) => node.membership.self.id)
    for (const node of fleet.nodes) expect(honest.every((id) => node.membership.members.get(id)?.state === 'alive')).to.equal(true)
  })
})
