/** Who reads the store, and whom the others follow. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { FailureDomain, NetworkAddress, Region } from '../../common/Types.js'
import { nodeOf, NOW } from '../../../testing/mesh/NodeRows.js'
import type { NodeName } from '../Types.js'
import { ReadingPolicy, type IChoiceState } from './ReadingPolicy.js'

const HEALTHY: IChoiceState = { isStoreLost: false, isLinked: () => false }
const LOST: IChoiceState = { isStoreLost: true, isLinked: () => false }

describe('ReadingPolicy', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f']
  const nodes = new Map(names.map((name) => [name as NodeName, nodeOf(name)]))
  const policyOf = (name: string): ReadingPolicy => {
    return new ReadingPolicy({ name: name as NodeName, failureDomain: 'z1' as FailureDomain, region: 'r1' as Region }, new RandomService(1))
  }
  const sourceOf = (name: string): NodeName | undefined => policyOf(name).choose(nodes, HEALTHY, NOW)?.name

  it('lets one node of a region read the store, and all others follow it', () => {
    const sources = new Set(names.map(sourceOf))
    expect(sources.size).to.equal(2)
    expect(sources.has(undefined)).to.equal(true)
  })

  it('goes to the second in rank when the first cannot be reached, and lets that one read', () => {
    const [first] = names.map(sourceOf).filter((name) => name !== undefined)
    const followers = names.filter((name) => name !== first).map((name) => {
      const policy = policyOf(name)
      const source = policy.choose(nodes, HEALTHY, NOW)
      if (source !== undefined) policy.recordFailure(source, NOW)
      return policy.choose(nodes, HEALTHY, NOW)?.name
    })
    expect(followers.filter((name) => name === undefined).length).to.equal(1)
    expect(new Set(followers).size).to.equal(2)
  })

  it('asks a node that offered its view first, unless there is a link to it', () => {
    const reader = names.find((name) => sourceOf(name) === undefined) ?? ''
    const offering = names.find((name) => name !== reader) as NodeName
    const choose = (state: IChoiceState): NodeName | undefined => {
      const policy = policyOf(reader)
      policy.recordFailure({ name: 'other' as NodeName, address: '10.0.0.9:9' as NetworkAddress, isPreferred: false }, NOW)
      policy.offer(offering)
      return policy.choose(nodes, state, NOW)?.name
    }
    expect([choose(LOST), choose(HEALTHY), choose({ ...LOST, isLinked: () => true })]).to.deep.equal([offering, undefined, undefined])
  })

  it('asks any node once the store is lost to the one that reads', () => {
    const reader = names.find((name) => sourceOf(name) === undefined) ?? ''
    expect(policyOf(reader).choose(nodes, LOST, NOW)).to.include({ isPreferred: false })
    expect(policyOf(reader).choose(new Map(), LOST, NOW)).to.equal(undefined)
    const alone = policyOf(reader)
    alone.suggest('10.0.0.9:9' as NetworkAddress)
    expect(alone.choose(new Map(), LOST, NOW)?.address).to.equal('10.0.0.9:9')
  })
})
