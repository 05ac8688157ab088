/** At-most-once execution: random sequences of claim operations under faults, and gates with a shared claim table. */
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

/** Asserts the invariants that hold at any time of a simulation. */
function assertAtMostOnce (simulation: ClaimSimulation): void {
  for (const [key, count] of simulation.executions) expect(count, `executions of ${key}`).to.equal(1)
  for (const request of simulation.requests) {
    if (request.outcome?.kind === 'not-run') expect(request.runs, 'runs of a request with the outcome not-run').to.equal(0)
    if (request.outcome?.kind === 'answered') expect(request.text).to.equal(`response to ${request.body}`)
  }
}

describe('ClaimService', () => {
  it('runs a key at most once, and never a request with the outcome not-run, in any sequence of steps', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(step, { minLength: 5, maxLength: 60, size: 'max' }), async (steps) => {
      const simulation = new ClaimSimulation()
      for (const nextStep of steps) await simulation.apply(nextStep)
      assertAtMostOnce(simulation)
      await simulation.finish()
      assertAtMostOnce(simulation)
    }), { seed: SEED, numRuns: 250 })
  })

  it('leaves no unexecuted key blocked once the store responds again, if no gate was killed', async () => {
    const stepWithoutKill = step.filter(({ kind }) => kind !== 'kill')
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(stepWithoutKill, { minLength: 5, maxLength: 40, size: 'max' }), async (steps) => {
      const simulation = new ClaimSimulation()
      for (const one of steps) await simulation.apply(one)
      await simulation.finish()
      for (const key of [0, 1]) await simulation.apply({ kind: 'request', gate: key, key, body: 0 })
      await simulation.finish()
      assertAtMostOnce(simulation)
      for (const request of simulation.requests.slice(-2)) {
        if ((simulation.executions.get(request.key) ?? 0) === request.runs) expect(request.outcome?.kind).to.equal('answered')
      }
    }), { seed: SEED, numRuns: 120 })
  })

  it('reverts a claim takeover whose write takes effect only after its gate has abandoned it', async () => {
    const simulation = new ClaimSimulation()
    const deliver = (fault: 'none' | 'late' | 'dropped' = 'none'): Promise<void> => simulation.apply({ kind: 'deliver', position: 0, fault })
    await simulation.apply({ kind: 'request', gate: 0, key: 0, body: 0 })
    await deliver()
    await simulation.apply({ kind: 'finish', position: 0, end: 'not-run' })
    await deliver()
    await deliver()
    await simulation.apply({ kind: 'request', gate: 1, key: 0, body: 0 })
    await deliver()
    await deliver()
    await deliver('late')
    await simulation.apply({ kind: 'advance', duration: 2_500 })
    // The delayed write is the first pending operation; all other operations are delivered before it.
    for (let count = 0; count < 6; count++) await simulation.apply({ kind: 'deliver', position: 1, fault: 'none' })
    await simulation.finish()
    await simulation.apply({ kind: 'request', gate: 2, key: 0, body: 0 })
    await simulation.finish()
    expect(simulation.requests.map(({ outcome }) => outcome?.kind)).to.deep.equal(['not-run', 'not-run', 'answered'])
  })
})

describe('Gates with a shared claim table', () => {
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
  /** Total executions of one key at both upstreams. */
  function executions (key: string): number {
    return (first.upstream.executions.get(key) ?? 0) + (second.upstream.executions.get(key) ?? 0)
  }
  async function waitForSettledClaims (): Promise<void> {
    await first.until(() => first.gate.claims.pending + second.gate.claims.pending === 0)
  }

  it('a retry at any gate receives the complete recorded response, small or large', async () => {
    for (const [key, size] of [['small', '0'], ['large', '100000']] as const) {
      const original = await pay(first, key, 'x', { 'x-answer-bytes': size })
      await waitForSettledClaims()
      for (const rig of [first, second]) {
        const retry = await pay(rig, key, 'x', { 'x-answer-bytes': size })
        expect([retry.status, retry.text, retry.headers['idempotency-replayed']]).to.deep.equal([200, original.text, 'true'])
      }
      expect(executions(key)).to.equal(1)
    }
  })

  it('a retry is refused if its body differs, and has an unknown outcome if the first run is in progress or lost its response', async () => {
    await pay(first, 'k')
    await waitForSettledClaims()
    await pay(first, 'lost', 'x', { 'x-fault': 'cut-before-head' })
    await waitForSettledClaims()
    const running = first.send({ route: 'pay', key: 'running', body: 'x', headers: { 'x-fault': 'hang' }, deadlineMs: 200 })
    await first.until(() => executions('running') === 1)
    const responses = {
      'another body': await pay(second, 'k', 'y'),
      'lost response': await pay(second, 'lost', 'x', { 'x-fault': 'cut-before-head' }),
      'running at another gate': await pay(second, 'running', 'x', { 'x-fault': 'hang' }),
      'running at this gate': await pay(first, 'running', 'x', { 'x-fault': 'hang' }),
      'malformed key': await pay(first, 'a b')
    }
    await running
    expect(Object.fromEntries(Object.entries(responses).map(([name, response]) => [name, summarise(response)]))).toMatchSnapshot()
    expect(['k', 'lost', 'running'].map(executions)).to.deep.equal([1, 1, 1])
  })

  it('only one of two simultaneous requests with the same key runs', async () => {
    for (let round = 0; round < 20; round++) {
      const key = `race-${round}`
      const responses = await Promise.all([pay(first, key), pay(second, key)])
      expect(executions(key)).to.equal(1)
      const kinds = responses.map(({ outcome }) => outcome).sort()
      expect(kinds[0]).to.equal('answered')
      expect(kinds[1]).to.be.oneOf(['answered', 'unknown'])
    }
  })

  it('a request is not started if it is refused because the store does not respond', async () => {
    const faults: TableFault[] = ['down', 'dropped', 'late', 'hung']
    const outcomes: Record<string, string> = {}
    for (const fault of faults) {
      table.fault = fault
      if (fault === 'dropped' || fault === 'late') table.script = [fault]
      const response = await pay(first, fault)
      outcomes[fault] = summarise(response)
      if (response.outcome === 'not-run') expect(executions(fault)).to.equal(0)
      table.fault = 'none'
    }
    expect(outcomes).toMatchSnapshot()
    for (const fault of ['down', 'hung']) expect(executions(fault)).to.equal(0)
  })

  it('a request starts if its claim was written although the reply of the store was lost', async () => {
    table.script = ['lost']
    expect(summarise(await pay(first, 'written'))).to.equal('200 answered')
    expect(executions('written')).to.equal(1)
  })

  it('another gate takes over a claim that was voided because the request could not run', async () => {
    first.upstream.kill()
    await first.until(() => first.membership.state === 'warming' || first.gate.endpoints('status' as never)[0]?.connections.open.size === 0)
    const refused = await pay(first, 'moved')
    expect(refused.outcome).to.equal('not-run')
    await waitForSettledClaims()
    expect(summarise(await pay(second, 'moved', 'other'))).to.equal('200 answered')
    expect(executions('moved')).to.equal(1)
  })

  it('concurrent claims are written in fewer transactions than claims', async () => {
    table.latencyMs = 20
    table.transactions = 0
    const responses = await Promise.all(Array.from({ length: 25 }, (_, number) => pay(first, `many-${number}`)))
    expect(responses.map(summarise)).to.deep.equal(responses.map(() => '200 answered'))
    await waitForSettledClaims()
    expect(table.transactions).to.be.below(25)
  })
})
