/** At most once: histories of claims under faults, and gates that share a table. */
import { expect } from 'chai'
import * as fastCheck from 'fast-check'
import { ClaimSimulation, type SimulationStep } from '../../testing/gate/ClaimSimulation.js'
import { FaultyTable, type TableFault } from '../../testing/gate/FaultyTable.js'
import { GateRig, summarise, type IRigResponse } from '../../testing/gate/GateRig.js'
import type { Milliseconds } from '../common/Types.js'
import { EmbeddedObjectStore } from '../platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../platform/EmbeddedTableService.js'

const SEED = 20_261_204

const small = fastCheck.nat({ max: 7 })
const step: fastCheck.Arbitrary<SimulationStep> = fastCheck.oneof(
  { weight: 4, arbitrary: fastCheck.record({ kind: fastCheck.constant('request' as const), gate: small, key: small, body: fastCheck.nat({ max: 1 }) }) },
  {
    weight: 10,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('deliver' as const),
      position: small,
      fault: fastCheck.constantFrom('none' as const, 'none' as const, 'none' as const, 'down' as const, 'lost' as const, 'dropped' as const, 'late' as const)
    })
  },
  {
    weight: 4,
    arbitrary: fastCheck.record({
      kind: fastCheck.constant('finish' as const), position: small, end: fastCheck.constantFrom('answered' as const, 'unknown' as const, 'not-run' as const)
    })
  },
  { weight: 2, arbitrary: fastCheck.record({ kind: fastCheck.constant('advance' as const), duration: fastCheck.constantFrom(25, 2_500) }) },
  { weight: 1, arbitrary: fastCheck.record({ kind: fastCheck.constant('kill' as const), gate: small }) }
)

/** What must hold of a world at any time. */
function assertAtMostOnce (world: ClaimSimulation): void {
  for (const [key, count] of world.executions) expect(count, `executions of ${key}`).to.equal(1)
  for (const request of world.requests) {
    if (request.outcome?.kind === 'not-run') expect(request.runs, 'runs of a request that was told not-run').to.equal(0)
    if (request.outcome?.kind === 'answered') expect(request.text).to.equal(`answer to ${request.body}`)
  }
}

describe('ClaimService', () => {
  it('runs a key at most once, and never a request told not-run, in any history', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, { minLength: 5, maxLength: 60, size: 'max' }), async (steps) => {
      const world = new ClaimSimulation()
      for (const nextStep of steps) await world.apply(nextStep)
      assertAtMostOnce(world)
      await world.finish()
      assertAtMostOnce(world)
    }), { seed: SEED, numRuns: 250 })
  })

  it('leaves no key blocked that was never run, once the store answers again and no gate has died', async () => {
    const stepWithoutKill = step.filter(({ kind }) => kind !== 'kill')
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(stepWithoutKill, { minLength: 5, maxLength: 40, size: 'max' }), async (steps) => {
      const world = new ClaimSimulation()
      for (const one of steps) await world.apply(one)
      await world.finish()
      for (const key of [0, 1]) await world.apply({ kind: 'request', gate: key, key, body: 0 })
      await world.finish()
      assertAtMostOnce(world)
      for (const request of world.requests.slice(-2)) {
        if ((world.executions.get(request.key) ?? 0) === request.runs) expect(request.outcome?.kind).to.equal('answered')
      }
    }), { seed: SEED, numRuns: 120 })
  })

  it('undoes a takeover whose write takes effect only after its gate gave up', async () => {
    const world = new ClaimSimulation()
    const deliver = (fault: 'none' | 'late' | 'dropped' = 'none'): Promise<void> => world.apply({ kind: 'deliver', position: 0, fault })
    await world.apply({ kind: 'request', gate: 0, key: 0, body: 0 })
    await deliver()
    await world.apply({ kind: 'finish', position: 0, end: 'not-run' })
    await deliver()
    await deliver()
    await world.apply({ kind: 'request', gate: 1, key: 0, body: 0 })
    await deliver()
    await deliver()
    await deliver('late')
    await world.apply({ kind: 'advance', duration: 2_500 })
    // The late write is the first that is still on its way; everything else goes before it.
    for (let count = 0; count < 6; count++) await world.apply({ kind: 'deliver', position: 1, fault: 'none' })
    await world.finish()
    await world.apply({ kind: 'request', gate: 2, key: 0, body: 0 })
    await world.finish()
    expect(world.requests.map(({ outcome }) => outcome?.kind)).to.deep.equal(['not-run', 'not-run', 'answered'])
  })
})

describe('Gates that share a table', () => {
  let table: FaultyTable
  let first: GateRig
  let second: GateRig

  beforeEach(async () => {
    table = new FaultyTable(new EmbeddedTableService())
    const objects = new EmbeddedObjectStore()
    const settings = { claims: { timeout: 150 as Milliseconds } }
    first = await new GateRig({ name: 'first', table, objects, settings }).start()
    second = await new GateRig({ name: 'second', table, objects, settings }).start()
  })
  afterEach(async () => {
    await Promise.all([first.stop(), second.stop()])
    expect(first.invariants.breaches + second.invariants.breaches).to.equal(0)
  })

  function pay (rig: GateRig, key: string, body = 'x', headers: Record<string, string> = {}): Promise<IRigResponse> {
    return rig.send({ route: 'pay', key, body, headers })
  }
  /** Executions of one key at both upstreams. */
  function executions (key: string): number {
    return (first.upstream.executions.get(key) ?? 0) + (second.upstream.executions.get(key) ?? 0)
  }
  async function waitForSettledClaims (): Promise<void> {
    await first.until(() => first.gate.claims.pending + second.gate.claims.pending === 0)
  }

  it('replay the recorded answer whole, small or large, at any gate', async () => {
    for (const [key, size] of [['small', '0'], ['large', '100000']] as const) {
      const original = await pay(first, key, 'x', { 'x-answer-bytes': size })
      await waitForSettledClaims()
      for (const rig of [first, second]) {
        const repeat = await pay(rig, key, 'x', { 'x-answer-bytes': size })
        expect([repeat.status, repeat.text, repeat.headers['idempotency-replayed']]).to.deep.equal([200, original.text, 'true'])
      }
      expect(executions(key)).to.equal(1)
    }
  })

  it('refuse a key with another body, and answer unknown for a run whose answer was lost or is under way', async () => {
    await pay(first, 'k')
    await waitForSettledClaims()
    await pay(first, 'lost', 'x', { 'x-fault': 'cut-before-head' })
    await waitForSettledClaims()
    const running = first.send({ route: 'pay', key: 'running', body: 'x', headers: { 'x-fault': 'hang' }, deadlineMs: 200 })
    await first.until(() => executions('running') === 1)
    const answers = {
      'another body': await pay(second, 'k', 'y'),
      'lost answer': await pay(second, 'lost', 'x', { 'x-fault': 'cut-before-head' }),
      'under way elsewhere': await pay(second, 'running', 'x', { 'x-fault': 'hang' }),
      'under way here': await pay(first, 'running', 'x', { 'x-fault': 'hang' }),
      'malformed key': await pay(first, 'a b')
    }
    await running
    expect(Object.fromEntries(Object.entries(answers).map(([name, answer]) => [name, summarise(answer)]))).toMatchSnapshot()
    expect(['k', 'lost', 'running'].map(executions)).to.deep.equal([1, 1, 1])
  })

  it('run one of two requests with the same key that come at the same moment', async () => {
    for (let round = 0; round < 20; round++) {
      const key = `race-${round}`
      const answers = await Promise.all([pay(first, key), pay(second, key)])
      expect(executions(key)).to.equal(1)
      const kinds = answers.map(({ outcome }) => outcome).sort()
      expect(kinds[0]).to.equal('answered')
      expect(kinds[1]).to.be.oneOf(['answered', 'unknown'])
    }
  })

  it('never start a request while the store gives no answer, and let the key run later', async () => {
    const faults: TableFault[] = ['down', 'dropped', 'late', 'hung']
    const outcomes: Record<string, string> = {}
    for (const fault of faults) {
      table.fault = fault
      if (fault === 'dropped' || fault === 'late') table.script = [fault]
      const answer = await pay(first, fault)
      outcomes[fault] = summarise(answer)
      if (answer.outcome === 'not-run') expect(executions(fault)).to.equal(0)
      table.fault = 'none'
    }
    expect(outcomes).toMatchSnapshot()
    for (const fault of ['down', 'hung']) expect(executions(fault)).to.equal(0)
  })

  it('start a request whose claim was written although its answer was lost', async () => {
    table.script = ['lost']
    expect(summarise(await pay(first, 'written'))).to.equal('200 answered')
    expect(executions('written')).to.equal(1)
  })

  it('take a claim over that was voided because no slot came free', async () => {
    first.upstream.kill()
    await first.until(() => first.membership.state === 'warming' || first.gate.endpoints('status' as never)[0]?.connections.open.size === 0)
    const refused = await pay(first, 'moved')
    expect(refused.outcome).to.equal('not-run')
    await waitForSettledClaims()
    expect(summarise(await pay(second, 'moved', 'other'))).to.equal('200 answered')
    expect(executions('moved')).to.equal(1)
  })

  it('write many claims in few transactions', async () => {
    table.latencyMs = 20
    table.transactions = 0
    const answers = await Promise.all(Array.from({ length: 25 }, (_, number) => pay(first, `many-${number}`)))
    expect(answers.map(summarise)).to.deep.equal(answers.map(() => '200 answered'))
    await waitForSettledClaims()
    expect(table.transactions).to.be.below(25)
  })
})
