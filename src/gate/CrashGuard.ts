/** Detects requests that crash their upstream: suspect requests run in isolation, proven ones are quarantined. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds, RequestFingerprint, RouteName, ServiceName, Timestamp } from '../common/Types.js'
import type { IBroadcastService } from '../membership/Services.js'
import { REQUEST_CLEARED, REQUEST_QUARANTINED, REQUEST_SUSPECT } from './Events.js'
import type { GateMetrics } from './GateMetrics.js'
import { fingerprintOf } from './BodyStart.js'
import type { ICall } from './Types.js'

/** Broadcast topic of the announcements between gates. */
export const SUSPECT_TOPIC = 'suspect'

/** Durations of suspicion and quarantine, and the maximum number of stored fingerprints. */
export interface ICrashGuardSettings {
  readonly suspicion: Milliseconds
  readonly quarantine: Milliseconds
  readonly capacity: number
}

/** Defaults of `CrashGuard`. */
export const DEFAULT_CRASH_GUARD_SETTINGS: ICrashGuardSettings = Object.freeze({
  suspicion: 300_000 as Milliseconds,
  quarantine: 300_000 as Milliseconds,
  capacity: 4_096
})

/** Options of `CrashGuard`. */
export interface ICrashGuardOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: GateMetrics
  /** Undefined in a single-node deployment. */
  readonly broadcast?: IBroadcastService
  readonly settings?: Partial<ICrashGuardSettings>
}

/** How a request may run: normally (`clear`), alone in its endpoint (`suspect`), or not at all (`quarantined`). */
export type Standing = 'clear' | 'suspect' | 'quarantined'

/** An exchange whose upstream closed the connection; a crash makes its request suspect. */
export interface ILostExchange {
  readonly call: ICall
  /** At least the first `FINGERPRINT_BODY_BYTES` of the body, or all of a shorter one. */
  readonly bodyStart: Uint8Array
  /** True if no other request ran in the upstream. */
  readonly isIsolated: boolean
}

interface IAnnouncement {
  readonly fingerprint: RequestFingerprint
  readonly service: ServiceName
  readonly route: RouteName
  readonly standing: Standing
}

interface IRecord extends IAnnouncement {
  readonly suspectUntil: number
  readonly quarantinedUntil: number
}

const FINGERPRINT_PATTERN = /^[\w-]{43}$/
const MAXIMUM_NAME_LENGTH = 63

/** Stores the suspect and quarantined fingerprints and shares them with the other gates. */
export class CrashGuard extends Disposable {
  private readonly _options: ICrashGuardOptions
  private readonly _settings: ICrashGuardSettings
  private readonly _records = new Map<RequestFingerprint, IRecord>()
  /** Number of records for each service and route. */
  private readonly _recordCounts = new Map<string, number>()

  constructor (options: ICrashGuardOptions) {
    super()
    this._options = options
    this._settings = { ...DEFAULT_CRASH_GUARD_SETTINGS, ...options.settings }
    if (options.broadcast === undefined) return
    this.register(options.broadcast.onMessage((message) => {
      if (message.topic === SUSPECT_TOPIC) this._receive(message.payload, options.clock.now())
    }))
  }

  /** True if a request of the route has to be fingerprinted, because the route has suspect or quarantined requests. */
  public hasRecords (service: ServiceName, route: RouteName): boolean {
    return this._recordCounts.size > 0 && this._recordCounts.has(routeKey(service, route))
  }

  /** Current standing of requests with this fingerprint. */
  public standingOf (fingerprint: RequestFingerprint, now: Timestamp): Standing {
    const record = this._records.get(fingerprint)
    if (record === undefined) return 'clear'
    if (now < record.quarantinedUntil) return 'quarantined'
    if (now < record.suspectUntil) return 'suspect'
    this._remove(record)
    return 'clear'
  }

  /** Marks the requests that were in flight when an upstream crashed. */
  public recordCrash (lostExchanges: readonly ILostExchange[], now: Timestamp): void {
    for (const lostExchange of lostExchanges) {
      const fingerprint = fingerprintOf(lostExchange.call, lostExchange.bodyStart)
      // A request is proven to be the cause only if it ran alone.
      const standing = lostExchange.isIsolated ? 'quarantined' : 'suspect'
      this._announce({ fingerprint, service: lostExchange.call.service, route: lostExchange.call.route, standing }, now)
    }
  }

  /** Clears a suspect request that ran alone and received a complete response. */
  public recordIsolatedSuccess (call: ICall, fingerprint: RequestFingerprint, now: Timestamp): void {
    this._announce({ fingerprint, service: call.service, route: call.route, standing: 'clear' }, now)
  }

  private _announce (announcement: IAnnouncement, now: Timestamp): void {
    if (announcement.standing === 'quarantined') this._options.metrics.quarantined.inc()
    this._apply(announcement, now)
    this._options.broadcast?.publish(SUSPECT_TOPIC, Buffer.from(JSON.stringify(announcement)))
  }

  private _receive (payload: Uint8Array, now: Timestamp): void {
    const announcement = parseAnnouncement(payload)
    if (announcement !== undefined) this._apply(announcement, now)
  }

  private _apply (announcement: IAnnouncement, now: Timestamp): void {
    const { fingerprint, service, route, standing } = announcement
    const previous = this.standingOf(fingerprint, now)
    // Announcements may arrive out of order: a clearance does not lift a quarantine.
    if (previous === standing || previous === 'quarantined') return
    const event = standing === 'clear' ? REQUEST_CLEARED : standing === 'suspect' ? REQUEST_SUSPECT : REQUEST_QUARANTINED
    this._options.log.log(event, { step: 'gate.crash-guard', service, route, fingerprint })
    const existing = this._records.get(fingerprint)
    if (existing !== undefined) this._remove(existing)
    if (standing !== 'clear') this._add(announcement, now)
  }

  private _add (announcement: IAnnouncement, now: Timestamp): void {
    const oldest = this._records.values().next().value
    if (this._records.size >= this._settings.capacity && oldest !== undefined) this._remove(oldest)
    const quarantinedUntil = announcement.standing === 'quarantined' ? now + this._settings.quarantine : 0
    // When its quarantine expires, a request is suspect again and runs alone.
    const suspectUntil = Math.max(now, quarantinedUntil) + this._settings.suspicion
    this._records.set(announcement.fingerprint, { ...announcement, quarantinedUntil, suspectUntil })
    const key = routeKey(announcement.service, announcement.route)
    this._recordCounts.set(key, (this._recordCounts.get(key) ?? 0) + 1)
  }

  private _remove (record: IRecord): void {
    this._records.delete(record.fingerprint)
    const key = routeKey(record.service, record.route)
    const count = (this._recordCounts.get(key) ?? 1) - 1
    if (count === 0) this._recordCounts.delete(key)
    else this._recordCounts.set(key, count)
  }
}

function routeKey (service: ServiceName, route: RouteName): string {
  return `${service}/${route}`
}

/** Parses an announcement; undefined if it is malformed. */
function parseAnnouncement (payload: Uint8Array): IAnnouncement | undefined {
  try {
    const value = JSON.parse(Buffer.from(payload).toString()) as Partial<Record<keyof IAnnouncement, unknown>>
    const { fingerprint, service, route, standing } = value
    if (typeof fingerprint !== 'string' || !FINGERPRINT_PATTERN.test(fingerprint)) return undefined
    if (typeof service !== 'string' || service.length > MAXIMUM_NAME_LENGTH) return undefined
    if (typeof route !== 'string' || route.length > MAXIMUM_NAME_LENGTH) return undefined
    if (standing !== 'clear' && standing !== 'suspect' && standing !== 'quarantined') return undefined
    return { fingerprint: fingerprint as RequestFingerprint, service: service as ServiceName, route: route as RouteName, standing }
  } catch {
    return undefined
  }
}
