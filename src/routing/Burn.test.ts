/** Counts, time windows and HTML page of the burn report. */
import { expect } from 'chai'
import { ManualClock } from '../../testing/ManualClock.js'
import { createActiveDocument, createRoute, createSnapshot, SERVICE } from '../../testing/RoutingFixtures.js'
import { renderBurnPage } from '../common/BurnPage.js'
import type { FailureDomain, Milliseconds, Region, ServiceName, Timestamp } from '../common/Types.js'
import type { IBurnMinute, IDomainReport } from '../distribution/Services.js'
import { classifyCall } from './BurnRules.js'
import { BurnService } from './BurnService.js'
import type { IBurnReport } from './Services.js'

const MINUTE_MS = 60_000
const HOUR_MS = 60 * MINUTE_MS
const DOMAIN = 'north' as FailureDomain

/** Creates a burn service with a collector that stores all counts. */
function setUp (): { clock: ManualClock, burn: BurnService, collected: IBurnMinute[] } {
  const clock = new ManualClock()
  const collected: IBurnMinute[] = []
  const report = (): IDomainReport => ({
    failureDomain: DOMAIN, writtenAt: clock.now(), isHeard: true, members: 1, services: [], burn: collected
  })
  const burn = new BurnService({
    snapshots: { current: createSnapshot(createActiveDocument([createRoute()])) },
    reports: { addBurn: (counts) => { collected.push(...counts) }, read: async () => [report()] },
    location: { failureDomain: DOMAIN, region: 'east' as Region },
    clock
  })
  burn.start()
  return { clock, burn, collected }
}

function rates (reports: readonly IBurnReport[]): string {
  const windows = reports[0]?.windows ?? []
  return windows.map((window) => `${window.window / MINUTE_MS} min: ${window.good}+${window.bad} x${window.burnRate.toFixed(1)}`).join(', ')
}

describe('BurnService', () => {
  it('computes the same windows from its own and from the collected counts, and drops counts older than a window', async () => {
    const { clock, burn } = setUp()
    const results: string[] = []
    const observe = async (): Promise<void> => {
      burn.flush(clock.now())
      results.push(`local ${rates(burn.local(clock.now()))}`, `read  ${rates(await burn.read(clock.now()))}`)
    }
    for (let number = 0; number < 999; number++) burn.record(SERVICE, true, clock.now())
    burn.record(SERVICE, false, clock.now())
    await observe()
    for (const pause of [10 * MINUTE_MS, 2 * HOUR_MS, 7 * HOUR_MS, 80 * HOUR_MS]) {
      await clock.advance(pause)
      for (let number = 0; number < 10; number++) burn.record(SERVICE, number > 0, clock.now())
      await observe()
    }
    expect(results).toMatchSnapshot()
  }).timeout(20_000)

  it('reports each count to the collectors exactly once and by minute, also the counts that remain at the stop', async () => {
    const { clock, burn, collected } = setUp()
    let recorded = 0
    for (let step = 0; step < 40; step++) {
      burn.record(SERVICE, step % 2 === 0, clock.now())
      recorded++
      await clock.advance(7_000)
    }
    burn.record(SERVICE, true, clock.now())
    burn.stop()
    expect(collected.reduce((sum, count) => sum + count.good + count.bad, 0)).to.equal(recorded + 1)
    expect(collected.every((count) => count.minute % MINUTE_MS === 0)).to.equal(true)
  })

  it('omits services without an active document', async () => {
    const { clock, burn } = setUp()
    burn.record('gone' as ServiceName, false, clock.now())
    burn.flush(clock.now())
    expect(burn.local(clock.now())).to.be.empty
    expect(await burn.read(clock.now())).to.be.empty
  })

  it('counts no outcomes for the objective that the caller or the document caused', () => {
    const objective = { availability: 99, latency: 250 as Milliseconds, window: HOUR_MS as Milliseconds }
    const notRun = (reason: 'overloaded' | 'cancelled' | 'no-route' | 'deadline'): string => classifyCall({ kind: 'not-run', reason, step: '' }, 1, objective)
    expect([
      classifyCall({ kind: 'answered', status: 404 }, 250, objective), classifyCall({ kind: 'answered', status: 200 }, 251, objective),
      classifyCall({ kind: 'answered', status: 500 }, 1, objective), classifyCall({ kind: 'unknown', reason: 'deadline', step: '' }, 1, objective),
      classifyCall({ kind: 'unknown', reason: 'cancelled', step: '' }, 1, objective), notRun('overloaded'), notRun('deadline'), notRun('cancelled'), notRun('no-route')
    ]).to.deep.equal(['good', 'bad', 'bad', 'bad', 'not-counted', 'bad', 'bad', 'not-counted', 'not-counted'])
  })
})

describe('renderBurnPage', () => {
  const windows = [{ windowMs: 5 * MINUTE_MS, good: 90, bad: 10, burnRate: 100 }, { windowMs: HOUR_MS, good: 1_000, bad: 0, burnRate: 0 }]

  it('renders bars and a table without external resources', () => {
    const page = renderBurnPage([{ service: 'status', failureDomain: 'north', objective: 99.9, windows }], new Date(0))
    expect(page).toMatchSnapshot()
    expect(page).to.not.match(/<script|src=|href=|url\(/)
  })

  it('escapes HTML in names, and renders no NaN or infinite numbers', () => {
    const hostile = '"><script>alert(1)</script>&\''
    const broken = [{ windowMs: NaN, good: -1, bad: Infinity, burnRate: NaN }]
    const page = renderBurnPage([{ service: hostile, failureDomain: hostile, objective: NaN, windows: broken }], new Date(0))
    expect(page).to.not.include('<script')
    expect(page).to.not.match(/NaN|Infinity/)
    expect(renderBurnPage([], new Date(0 as Timestamp))).to.include('No calls have been counted.')
  })
})
