/** Outlier ejection based on observed calls (passive health checks). */
import type { IRandomService } from '../common/Services.js'
import type { Timestamp } from '../common/Types.js'
import type { EndpointStatistics } from './EndpointStatistics.js'

/** Thresholds and ejection times of `OutlierDetector`. */
export interface IOutlierDetectorOptions {
  /** Consecutive failures that eject an endpoint. */
  readonly failureLimit: number
  /** An endpoint is slow if its latency exceeds this multiple of the median of its peers. */
  readonly slownessFactor: number
  /** Minimum difference to the median at which an endpoint is slow, in milliseconds. */
  readonly slownessFloorMs: number
  /** Minimum number of responses before an endpoint can be ejected as slow. */
  readonly sampleMinimum: number
  /** Minimum number of responses of a peer whose latency is compared, and of an endpoint that was ejected before. */
  readonly referenceMinimum: number
  /** Duration of the first ejection; doubles with each consecutive ejection. */
  readonly ejectionBaseMs: number
  readonly maximumEjectionMs: number
  /** Ejections are ignored if the share of endpoints that are not ejected is below this percentage. */
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
  maximumEjectionMs: 60_000,
  panicPercent: 50
})

/** Ejects endpoints that fail or are slow compared with their peers; never more than the ceiling allows. */
export class OutlierDetector {
  private readonly _options: IOutlierDetectorOptions

  constructor (private readonly _random: IRandomService, options: Partial<IOutlierDetectorOptions> = {}) {
    this._options = { ...DEFAULT_OUTLIER_DETECTOR_OPTIONS, ...options }
  }

  /** Records a successful response. Returns true if the endpoint was ejected as slow. */
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

  /** Records a failed call. Returns true if the endpoint was ejected. */
  public recordFailure (subject: EndpointStatistics, all: readonly EndpointStatistics[], ceilingPercent: number, now: Timestamp): boolean {
    subject.consecutiveFailures++
    if (subject.consecutiveFailures < this._options.failureLimit) return false
    return this._eject(subject, all, ceilingPercent, now)
  }

  /**
   * Returns the endpoints that are not ejected, or all endpoints if the remaining ones would be overloaded (see
   * `panicPercent`).
   */
  public eligible (candidates: readonly EndpointStatistics[], now: Timestamp): readonly EndpointStatistics[] {
    if (!candidates.some((candidate) => candidate.isEjected(now))) return candidates
    const left = candidates.filter((candidate) => !candidate.isEjected(now))
    return left.length * 100 < candidates.length * this._options.panicPercent ? candidates : left
  }

  /**
   * Compares with peers of the same or a farther tier only. The network can only add latency to calls to farther peers, so
   * an endpoint that is slower than its peers is slow itself.
   */
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
    const { ejectionBaseMs, maximumEjectionMs } = this._options
    const length = Math.min(maximumEjectionMs, ejectionBaseMs * 2 ** subject.ejections)
    // Between half and the full duration, so that nodes do not all resume calls to the endpoint at the same time.
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
