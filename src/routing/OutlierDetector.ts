/** Passive outlier ejection. */
import type { IRandomService } from '../common/Services.js'
import type { Timestamp } from '../common/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'

/** When an endpoint is an outlier and for how long it is left out. */
export interface IOutlierDetectorOptions {
  /** Failures in a row that eject an endpoint. */
  readonly failureLimit: number
  /** An endpoint is slow if its latency is above this multiple of its peers' median. */
  readonly slownessFactor: number
  /** Smallest excess over the median that counts as slow, in milliseconds. */
  readonly slownessFloorMs: number
  /** Answers that are needed before an endpoint can be called slow. */
  readonly sampleMinimum: number
  /** Answers that are needed of a peer to compare with, and of an endpoint that was ejected before. */
  readonly referenceMinimum: number
  /** Length of the first ejection; doubles with each one in a row. */
  readonly ejectionBaseMs: number
  readonly ejectionLimitMs: number
  /** If fewer than this share of the endpoints is left, ejections are ignored. */
  readonly panicPercent: number
}

/** Defaults of `OutlierDetector`. */
export const DEFAULT_OUTLIER_DETECTOR_OPTIONS: IOutlierDetectorOptions = Object.freeze({
  failureLimit: 5,
  slownessFactor: 3,
  slownessFloorMs: 5,
  sampleMinimum: 20,
  referenceMinimum: 5,
  ejectionBaseMs: 2_000,
  ejectionLimitMs: 60_000,
  panicPercent: 50
})

/** Ejects endpoints that fail or are slow against their peers; never more than the ceiling allows. */
export class OutlierDetector {
  private readonly _options: IOutlierDetectorOptions

  constructor (private readonly _random: IRandomService, options: Partial<IOutlierDetectorOptions> = {}) {
    this._options = { ...DEFAULT_OUTLIER_DETECTOR_OPTIONS, ...options }
  }

  /** Takes a good answer. Returns true if the endpoint was ejected for slowness. */
  public recordSuccess (
    subject: EndpointStatistics, latencyMs: number, all: readonly EndpointStatistics[], ceilingPercent: number, now: Timestamp
  ): boolean {
    subject.consecutiveFailures = 0
    subject.addLatency(latencyMs)
    const { sampleMinimum, referenceMinimum } = this._options
    if (subject.samples < (subject.ejections > 0 ? referenceMinimum : sampleMinimum)) return false
    if (!this._isSlow(subject, all)) {
      if (subject.samples >= sampleMinimum) subject.ejections = 0
      return false
    }
    return this._eject(subject, all, ceilingPercent, now)
  }

  /** Takes a failed call. Returns true if the endpoint was ejected. */
  public recordFailure (subject: EndpointStatistics, all: readonly EndpointStatistics[], ceilingPercent: number, now: Timestamp): boolean {
    subject.consecutiveFailures++
    if (subject.consecutiveFailures < this._options.failureLimit) return false
    return this._eject(subject, all, ceilingPercent, now)
  }

  /** Endpoints that may be chosen. All of them if so few are left that ejection would overload the rest. */
  public eligible (candidates: readonly EndpointStatistics[], now: Timestamp): readonly EndpointStatistics[] {
    if (!candidates.some((candidate) => candidate.isEjected(now))) return candidates
    const left = candidates.filter((candidate) => !candidate.isEjected(now))
    return left.length * 100 < candidates.length * this._options.panicPercent ? candidates : left
  }

  /** Compares with peers that are as near or farther: the network can only make these slower. */
  private _isSlow (subject: EndpointStatistics, all: readonly EndpointStatistics[]): boolean {
    const peers: number[] = []
    for (const peer of all) {
      if (peer !== subject && peer.tier >= subject.tier && peer.samples >= this._options.referenceMinimum) peers.push(peer.latencyMs)
    }
    if (peers.length === 0) return false
    const typical = median(peers)
    return subject.latencyMs > typical * this._options.slownessFactor && subject.latencyMs > typical + this._options.slownessFloorMs
  }

  private _eject (subject: EndpointStatistics, all: readonly EndpointStatistics[], ceilingPercent: number, now: Timestamp): boolean {
    if (subject.isEjected(now)) return false
    const ejected = all.filter((candidate) => candidate.isEjected(now)).length
    if ((ejected + 1) * 100 > all.length * ceilingPercent) return false
    const { ejectionBaseMs, ejectionLimitMs } = this._options
    const length = Math.min(ejectionLimitMs, ejectionBaseMs * 2 ** subject.ejections)
    // Between half and the whole length, so that nodes do not all return to the endpoint at once.
    subject.ejectedUntil = now + length * (0.5 + this._random.fraction() / 2)
    subject.ejections++
    subject.consecutiveFailures = 0
    subject.samples = 0
    return true
  }
}

function median (values: number[]): number {
  const sorted = values.sort((left, right) => left - right)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle] as number : ((sorted[middle - 1] as number) + (sorted[middle] as number)) / 2
}
