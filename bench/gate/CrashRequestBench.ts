/** A request that crashes every upstream that runs it and is repeatedly sent by its caller. */
import { RandomService } from '../../src/common/RandomService.js'
import type { Milliseconds } from '../../src/common/Types.js'
import { FakeBroadcast } from '../../testing/gate/FakeMembership.js'
import { GateFleet, pause, startAtRate } from '../../testing/gate/GateFleet.js'
import { BOUNDS } from '../Bounds.js'
import type { IBench, IBenchOptions, IFigure } from '../Types.js'

/** Number of endpoints of the service; each may crash at most once, regardless of how often the request is sent. */
const GATES = 6
const CALL_RATE = 150
const SERVICE_TIME_MS = 40
const RESTART_MS = 1_000
const DURATION_MS = 60_000
const QUICK_DURATION_MS = 8_000
/** Time between the response to the caller and the next request. */
const RESEND_MS = 200
/** Time until the other gates learn about a suspected request. */
const BROADCAST_DELAY_MS = 100

/** Results of one run. */
interface IResult {
  readonly crashes: number
  /** Percentage of the other calls that were answered. */
  readonly goodPercent: number
  /** Number of times that the request was sent. */
  readonly sent: number
  readonly breaches: number
}

/** Sends the request repeatedly until the signal is aborted. */
async function resend (fleet: GateFleet, signal: AbortSignal): Promise<number> {
  let sent = 0
  while (!signal.aborted) {
    sent++
    await fleet.call('/read/crash', { 'x-fault': 'crash' })
    await pause(RESEND_MS)
  }
  return sent
}

/** Runs other calls concurrently with the crashing request. */
async function run (options: IBenchOptions, hasCrashGuard: boolean): Promise<IResult> {
  const random = new RandomService(options.seed)
  const crashGuard = hasCrashGuard ? {} : { suspicion: 0 as Milliseconds, quarantine: 0 as Milliseconds }
  const fleet = await new GateFleet({
    seed: options.seed,
    gates: GATES,
    announcementDelayMs: 100,
    rig: {
      broadcast: new FakeBroadcast(BROADCAST_DELAY_MS),
      settings: { crashGuard },
      upstream: { slots: 9, serviceTimeMs: SERVICE_TIME_MS, connectionCostMs: 1, restartMs: RESTART_MS },
      document: { pool: { slots: 9, healthInterval: 500 as Milliseconds } }
    }
  }).start()
  let calls = 0
  let good = 0
  const stopResending = new AbortController()
  const resending = resend(fleet, stopResending.signal)
  const pending: Array<Promise<void>> = []
  await startAtRate(CALL_RATE, options.quick ? QUICK_DURATION_MS : DURATION_MS, random, () => {
    calls++
    pending.push(fleet.call(`/read/${calls}`).then(({ outcome }) => {
      if (outcome.kind === 'answered') good++
    }))
  })
  stopResending.abort()
  const sent = await resending
  await Promise.all(pending)
  const crashes = fleet.all.reduce((sum, rig) => sum + rig.upstream.crashes, 0)
  const { breaches } = fleet
  await fleet.stop()
  return { crashes, goodPercent: Math.round(good / calls * 10_000) / 100, sent, breaches }
}

/** Crash benchmark. */
export const CRASH_REQUEST_BENCH: IBench = {
  name: 'crash-request',
  summary: 'A request that crashes its upstream, repeatedly sent for a minute; baseline: no suspicion and no quarantine',
  run: async (options, report) => {
    reportResult(await run(options, true), '', true, report)
    if (options.baseline) reportResult(await run(options, false), 'baseline ', false, report)
  }
}

function reportResult (result: IResult, prefix: string, hasBounds: boolean, report: (figure: IFigure) => void): void {
  const good = hasBounds ? { bound: BOUNDS.otherCallsSuccessPercent, direction: 'at-least' as const } : {}
  const none = hasBounds ? { bound: BOUNDS.none, direction: 'at-most' as const } : {}
  report({ name: `${prefix}sendings of the request`, value: result.sent, unit: 'requests' })
  const crashes = hasBounds ? { bound: GATES, direction: 'at-most' as const } : {}
  report({ name: `${prefix}upstream crashes`, value: result.crashes, unit: 'crashes', ...crashes })
  report({ name: `${prefix}other calls answered`, value: result.goodPercent, unit: '%', ...good })
  report({ name: `${prefix}invariant breaches`, value: result.breaches, unit: 'breaches', ...none })
}
