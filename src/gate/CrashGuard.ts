/** Suspicion, isolation and quarantine of requests that crash their upstream. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService, ILogService } from '../common/Services.js'
import type { Milliseconds, RequestFingerprint, RouteName, ServiceName, Timestamp } from '../common/Types.js'
import type { IBroadcastService } from '../membership/Services.js'
import { REQUEST_CLEARED, REQUEST_QUARANTINED, REQUEST_SUSPECT } from './Events.js'
import type { GateMetrics } from './GateMetrics.js'
import { fingerprintOf } from './KeptBody.js'
import type { ICall } from './Types.js'

/** Topic of the announcements between gates. */
export const SUSPECT_TOPIC = 'suspect'

/** How long suspicion and quarantine last, and how many fingerprints are held. */
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

/** What the guard needs. */
export interface ICrashGuardOptions {
  readonly clock: IClockService
  readonly log: ILogService
  readonly metrics: GateMetrics
  /** Undefined in a process of one node. */
  readonly broadcast?: IBroadcastService
  readonly settings?: Partial<ICrashGuardSettings>
}

/** How a request may run. */
export type Standing = 'clear' | 'suspect' | 'quarantined'

/** A request that was in flight when its upstream crashed. */
export interface ICrashVictim {
  readonly call: ICall
  readonly keptChunks: readonly Uint8Array[]
  /** True if nothing else ran in the upstream. */
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

/** Holds what is suspect and in quarantine; shares it with the other gates. */
export class CrashGuard extends Disposable {
  private readonly _options: ICrashGuardOptions
  private readonly _settings: ICrashGuardSettings
  private readonly _records = new Map<RequestFingerprint, IRecord>()
  /** Number of records by service and route. */
  private readonly _routes = new Map<string, number>()

  constructor (options: ICrashGuardOptions) {
    super()
    this._options = options
    this._settings = { ...DEFAULT_CRASH_GUARD_SETTINGS, ...options.settings }
    if (options.broadcast === undefined) return
    this.register(options.broadcast.onMessage((message) => {
      if (message.topic === SUSPECT_TOPIC) this._receive(message.payload, options.clock.now())
    }))
  }

  /** False if no request of the route needs a fingerprint. */
  public concerns (service: ServiceName, route: RouteName): boolean {
    return this._routes.size > 0 && this._routes.has(routeKey(service, route))
  }

  /** How a request with this fingerprint may run. */
  public standingOf (fingerprint: RequestFingerprint, now: Timestamp): Standing {
    const record = this._records.get(fingerprint)
    if (record === undefined) return 'clear'
    if (now < record.quarantinedUntil) return 'quarantined'
    if (now < record.suspectUntil) return 'suspect'
    this._remove(record)
    return 'clear'
  }

  /** Takes the requests that were in flight when an upstream crashed. */
  public onCrashed (victims: readonly ICrashVictim[], now: Timestamp): void {
    for (const victim of victims) {
      const fingerprint = fingerprintOf(victim.call, victim.keptChunks)
      // Only a request that ran alone is proved to be the cause.
      const standing = victim.isIsolated ? 'quarantined' : 'suspect'
      this._announce({ fingerprint, service: victim.call.service, route: victim.call.route, standing }, now)
    }
  }

  /** A suspect ran alone and finished whole. */
  public onFinishedAlone (call: ICall, fingerprint: RequestFingerprint, now: Timestamp): void {
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
    // A clearance that crosses a quarantine does not lift it.
    if (previous === standing || previous === 'quarantined') return
    const event = standing === 'clear' ? REQUEST_CLEARED : standing === 'suspect' ? REQUEST_SUSPECT : REQUEST_QUARANTINED
    this._options.log.log(event, { step: 'gate.crash-guard', service, route, fingerprint })
    const known = this._records.get(fingerprint)
    if (known !== undefined) this._remove(known)
    if (standing !== 'clear') this._add(announcement, now)
  }

  private _add (announcement: IAnnouncement, now: Timestamp): void {
    const oldest = this._records.values().next().value
    if (this._records.size >= this._settings.capacity && oldest !== undefined) this._remove(oldest)
    const quarantinedUntil = announcement.standing === 'quarantined' ? now + this._settings.quarantine : 0
    // After its quarantine a request is suspect again and runs alone.
    const suspectUntil = Math.max(now, quarantinedUntil) + this._settings.suspicion
    this._records.set(announcement.fingerprint, { ...announcement, quarantinedUntil, suspectUntil })
    const key = routeKey(announcement.service, announcement.route)
    this._routes.set(key, (this._routes.get(key) ?? 0) + 1)
  }

  private _remove (record: IRecord): void {
    this._records.delete(record.fingerprint)
    const key = routeKey(record.service, record.route)
    const count = (this._routes.get(key) ?? 1) - 1
    if (count === 0) this._routes.delete(key)
    else this._routes.set(key, count)
  }
}

function routeKey (service: ServiceName, route: RouteName): string {
  return `${service}/${route}`
}

/** The announcement in a message; undefined if it is malformed. */
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
