/** Decides when a request that coincided with crashes is quarantined, and when it may be tried again. */
import type { Milliseconds } from '../../common/Types.js'
import type { CrashKind, ICrashRecord } from '../Types.js'

/** Thresholds and durations of the quarantine. */
export interface IQuarantineOptions {
  /** Sum of the weights of the crashes from which a request is quarantined. */
  readonly threshold: number
  /** Delay of the first trial after the newest crash. */
  readonly firstTrialDelay: Milliseconds
  /** Factor between the delays of successive trials. */
  readonly trialDelayFactor: number
  /** Time after the newest crash in which the crashes of a request that is not quarantined count. */
  readonly suspicion: Milliseconds
  /** Time after the newest crash in which the crashes of a quarantined request count. */
  readonly quarantine: Milliseconds
}

/** Defaults of the quarantine. */
export const DEFAULT_QUARANTINE_OPTIONS: IQuarantineOptions = Object.freeze({
  threshold: 3,
  firstTrialDelay: 10_000 as Milliseconds,
  trialDelayFactor: 6,
  suspicion: 600_000 as Milliseconds,
  quarantine: 14_400_000 as Milliseconds
})

/** Weight of a crash: a request that the process executed alone is more likely the cause than one of several. */
const WEIGHT: Readonly<Record<CrashKind, number>> = Object.freeze({ connections: 1, process: 1, 'process-alone': 2, trial: 2 })

/** Sum of the weights of crashes of one request. */
export function pointsOf (crashes: readonly ICrashRecord[]): number {
  return crashes.reduce((sum, { kind }) => sum + WEIGHT[kind], 0)
}

/**
 * Whether a node publishes the crashes of one request. Endpoints that reset single connections do so often, so the first loss of
 * connections alone stays with the nodes that took part in the call.
 */
export function shouldPublish (crash: ICrashRecord, crashes: readonly ICrashRecord[]): boolean {
  return crash.kind !== 'connections' || crashes.length > 1
}

/** Time between the newest crash and the next trial, after a number of failed trials. */
export function trialDelay (failedTrials: number, { firstTrialDelay, trialDelayFactor, quarantine }: IQuarantineOptions): Milliseconds {
  return Math.min(firstTrialDelay * trialDelayFactor ** failedTrials, quarantine) as Milliseconds
}
