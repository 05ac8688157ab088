/** Endpoints are drained, stopped and replaced under continuous load. */
import { RandomService } from '../../src/common/RandomService.js'
import type { Timestamp } from '../../src/common/Types.js'
import { GateFleet, pause, startAtRate } from '../../testing/gate/GateFleet.js'
import type { GateRig } from '../../testing/gate/GateRig.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'

const GATES = 6
/** Calls per second through the router. */
const CALL_RATE = 250
const SERVICE_TIME_MS = 50
/** Time until the router learns about a drain. */
const ANNOUNCEMENT_DELAY_MS = 500
/** 1,000 times the design rate of 1,800 of 6,500 VMs per day: one replacement of each endpoint every 312 s. */
const DESIGN_REPLACEMENTS_PER_SECOND_TIMES_1000 = GATES / 312
const REPLACEMENTS = 20
const QUICK_REPLACEMENTS = 4
const PAUSE_MS = 250

/** Counts of calls, and times at the upstreams. */
class Tally {
  public calls = 0
  public readonly interrupted: string[] = []
  public readonly refused: string[] = []
  /** Longest time from the announcement of a drain to the last request that started at the upstream. */
  public lastStartMs = 0
  public startsAfterBound = 0
}

type StopProcedure = (rig: GateRig) => Promise<void>

/** Stops the endpoint gracefully: the gate drains before the upstream stops. */
async function drain (rig: GateRig): Promise<void> {
  await rig.gate.stop()
  rig.upstream.kill()
  await rig.server.stop()
}

/** Announces the drain of the endpoint and stops it immediately. */
async function stopAtOnce (rig: GateRig): Promise<void> {
  rig.membership.setEndpointState('endpoint' as never, 'draining', Date.now() as Timestamp)
  await rig.stop()
}

/** Replaces the endpoints one after another under continuous load. */
async function replaceAll (options: IBenchOptions, stop: StopProcedure, tally: Tally): Promise<{ breaches: number, seconds: number }> {
  const random = new RandomService(options.seed)
  const fleet = await new GateFleet({
    seed: options.seed,
    gates: GATES,
    announcementDelayMs: ANNOUNCEMENT_DELAY_MS,
    rig: {
      upstream: { slots: 9, serviceTimeMs: SERVICE_TIME_MS, connectionCostMs: 1 },
      document: { pool: { slots: 9 }, deadlineMs: 2_000 }
    }
  }).start()
  let isFinished = false
  const calling = callUntil(() => isFinished, fleet, random, tally)
  const startedAt = performance.now()
  const replacements = options.quick ? QUICK_REPLACEMENTS : REPLACEMENTS
  for (let count = 0; count < replacements; count++) {
    const rig = fleet.rigs[count % GATES] as GateRig
    const successor = await fleet.createRig()
    const announcedAt = Date.now()
    await stop(rig)
    fleet.replace(rig, successor)
    await pause(PAUSE_MS)
    recordLastStart(rig, announcedAt, tally)
  }
  const seconds = (performance.now() - startedAt) / 1_000
  await pause(BOUNDS.drainStopMs)
  isFinished = true
  await calling
  const { breaches } = fleet
  await fleet.stop()
  return { breaches, seconds }
}

function recordLastStart (rig: GateRig, announcedAt: number, tally: Tally): void {
  const lastStart = rig.upstream.lastStartAt - announcedAt
  tally.lastStartMs = Math.max(tally.lastStartMs, lastStart)
  if (lastStart > BOUNDS.drainStopMs) tally.startsAfterBound++
}

/** Sends non-idempotent calls, which are never retried once a byte may have been sent. */
async function callUntil (isFinished: () => boolean, fleet: GateFleet, random: RandomService, tally: Tally): Promise<void> {
  const pending: Array<Promise<void>> = []
  while (!isFinished()) {
    await startAtRate(CALL_RATE, 200, random, () => {
      tally.calls++
      pending.push(fleet.call('/file/a').then(({ outcome }) => {
        if (outcome.kind === 'unknown') tally.interrupted.push(outcome.reason)
        if (outcome.kind === 'not-run') tally.refused.push(outcome.reason)
      }))
    })
  }
  await Promise.all(pending)
}

/** Measures one stop procedure. */
async function measure (
  options: IBenchOptions, prefix: string, stop: StopProcedure, hasBounds: boolean, report: (figure: IFigure) => void
): Promise<void> {
  const tally = new Tally()
  const { breaches, seconds } = await replaceAll(options, stop, tally)
  const none = hasBounds ? { bound: BOUNDS.none, direction: 'at-most' as const } : {}
  const replacements = options.quick ? QUICK_REPLACEMENTS : REPLACEMENTS
  const rate = replacements / seconds / DESIGN_REPLACEMENTS_PER_SECOND_TIMES_1000
  report({ name: `${prefix}replacements`, value: replacements, unit: 'endpoints' })
  report({ name: `${prefix}rate of replacements`, value: Math.round(rate * 10) / 10, unit: 'times the design rate times 1,000' })
  report({ name: `${prefix}calls`, value: tally.calls, unit: 'calls' })
  report({ name: `${prefix}calls cut`, value: tally.interrupted.length, unit: 'calls', ...none })
  report({ name: `${prefix}calls refused`, value: tally.refused.length, unit: 'calls', ...none })
  const drainBound = hasBounds ? { bound: BOUNDS.drainStopMs, direction: 'at-most' as const } : {}
  report({ name: `${prefix}last start after the announcement`, value: tally.lastStartMs, unit: 'ms', ...drainBound })
  report({ name: `${prefix}upstreams with a start later than that`, value: tally.startsAfterBound, unit: 'upstreams', ...none })
  report({ name: `${prefix}invariant breaches`, value: breaches, unit: 'breaches', ...none })
}

/** Drain benchmark. */
export const DRAIN_BENCH: IBench = {
  name: 'drain',
  summary: 'Endpoints are drained and replaced under continuous load; baseline: stopped immediately after the announcement',
  run: async (options, report) => {
    await measure(options, '', drain, true, report)
    if (options.baseline) await measure(options, 'baseline ', stopAtOnce, false, report)
  }
}
