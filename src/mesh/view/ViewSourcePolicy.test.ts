/** Which node of a region reads the store, and which node the others follow. */
import { expect } from 'chai'
import { RandomService } from '../../common/RandomService.js'
import type { FailureDomain, NetworkAddress, Region } from '../../common/Types.js'
import { nodeOf, NOW } from '../../../testing/mesh/NodeRows.js'
import type { NodeName } from '../Types.js'
import { ViewSourcePolicy, type ISelectionState } from './ViewSourcePolicy.js'

const STORE_AVAILABLE: ISelectionState = { isStoreUnavailable: false, isLinked: () => false }
const STORE_UNAVAILABLE: ISelectionState = { isStoreUnavailable: true, isLinked: () => false }

describe('ViewSourcePolicy', () => {
  const names = ['a', 'b', 'c', 'd', 'e', 'f']
  const nodes = new Map(names.map((name) => [name as NodeName, nodeOf(name)]))
  const policyOf = (name: string): ViewSourcePolicy => {
    return new ViewSourcePolicy({ name: name as NodeName, failureDomain: 'z1' as FailureDomain, region: 'r1' as Region }, new RandomService(1))
  }
  const sourceOf = (name: string): NodeName | undefined => policyOf(name).choose(nodes, STORE_AVAILABLE, NOW)?.name

  it('selects one node of a region to read the store, and makes all others follow it', () => {
    const sources = new Set(names.map(sourceOf))
    expect(sources.size).to.equal(2)
    expect(sources.has(undefined)).to.equal(true)
  })

  it('selects the second-ranked node when the first is unreachable, and lets the second read the store', () => {
    const [first] = names.map(sourceOf).filter((name) => name !== undefined)
    const followers = names.filter((name) => name !== first).map((name) => {
      const policy = policyOf(name)
      const source = policy.choose(nodes, STORE_AVAILABLE, NOW)
      if (source !== undefined) policy.recordFailure(source, NOW)
      return policy.choose(nodes, STORE_AVAILABLE, NOW)?.name
    })
    expect(followers.filter((name) => name === undefined).length).to.equal(1)
    expect(new Set(followers).size).to.equal(2)
  })

  it('selects a node that has offered its view first when the store is unavailable, unless a link to it is open', () => {
    const reader = names.find((name) => sourceOf(name) === undefined) ?? ''
    const offering = names.find((name) => name !== reader) as NodeName
    const choose = (state: ISelectionState): NodeName | undefined => {
      const policy = policyOf(reader)
      policy.recordFailure({ name: 'other' as NodeName, address: '10.0.0.9:9' as NetworkAddress, isPreferred: false }, NOW)
      policy.recordOffer(offering)
      return policy.choose(nodes, state, NOW)?.name
    }
    expect([choose(STORE_UNAVAILABLE), choose(STORE_AVAILABLE), choose({ ...STORE_UNAVAILABLE, isLinked: () => true })])
      .to.deep.equal([offering, undefined, undefined])
  })

  it('selects any node as a fallback once the store is unavailable to the reader', () => {
    const reader = names.find((name) => sourceOf(name) === undefined) ?? ''
    expect(policyOf(reader).choose(nodes, STORE_UNAVAILABLE, NOW)).to.include({ isPreferred: false })
    expect(policyOf(reader).choose(new Map(), STORE_UNAVAILABLE, NOW)).to.equal(undefined)
    const isolated = policyOf(reader)
    isolated.recordSuggestion('10.0.0.9:9' as NetworkAddress)
    expect(isolated.choose(new Map(), STORE_UNAVAILABLE, NOW)?.address).to.equal('10.0.0.9:9')
  })
})
