/** Counts good and bad calls of services, and computes the burn rates of their objectives. */
import { Disposable } from '../common/Disposable.js'
import type { IClockService, IService } from '../common/Services.js'
import type { FailureDomain, ILocation, Milliseconds, ServiceName, Timestamp } from '../common/Types.js'
import type { IBurnMinute, IReportService, ISnapshotService } from '../distribution/Services.js'
import type { IBurnSum } from './BurnRing.js'
import { BURN_WINDOWS_MS, BurnWindows, toBurnWindow } from './BurnWindows.js'
import type { IBurnReport, IBurnService } from './Services.js'

const MINUTE_MS = 60_000

/** Dependencies of `BurnService`. */
export interface IBurnServiceOptions {
  readonly snapshots: Pick<ISnapshotService, 'current'>
  readonly reports: IReportService
  /** Where this node runs. */
  readonly location: ILocation
  readonly clock: IClockService
  /** Interval at which counts are reported to the collectors. */
  readonly flushIntervalMs?: number
}

const DEFAULT_FLUSH_INTERVAL_MS = 15_000

interface IPendingCount {
  readonly service: ServiceName
  readonly minute: Timestamp
  good: number
  bad: number
}

/** Stores the counts of this node, reports them to the collectors, and reads the counts of all nodes from the collectors. */
export class BurnService extends Disposable implements IBurnService, IService {
  private readonly _windows = new Map<ServiceName, BurnWindows>()
  private _pending = new Map<string, IPendingCount>()

  constructor (private readonly _options: IBurnServiceOptions) {
    super()
  }

  public start (): void {
    const { clock, flushIntervalMs } = this._options
    this.register(clock.every((flushIntervalMs ?? DEFAULT_FLUSH_INTERVAL_MS) as Milliseconds, () => this.flush(clock.now())))
  }

  /** Reports the remaining counts. */
  public stop (): void {
    this.flush(this._options.clock.now())
    this.dispose()
  }

  public record (service: ServiceName, isGood: boolean, now: Timestamp): void {
    this._windowsOf(service).add(isGood, now)
    const pending = this._pendingOf(service, now)
    if (isGood) pending.good++
    else pending.bad++
  }

  /** Reports the counts since the last flush to the collectors. */
  public flush (now: Timestamp): void {
    if (this._pending.size === 0) return
    const counts: IBurnMinute[] = [...this._pending.values()]
    this._pending = new Map()
    this._options.reports.addBurn(counts, now)
  }

  public local (now: Timestamp): readonly IBurnReport[] {
    const reports: IBurnReport[] = []
    const { failureDomain } = this._options.location
    for (const [service, windows] of this._windows) {
      const objective = this._objective(service)
      if (objective === undefined) continue
      reports.push({ service, failureDomain, objective, windows: windows.read(objective, now) })
    }
    return reports
  }

  public async read (now: Timestamp): Promise<readonly IBurnReport[]> {
    const domains = await this._options.reports.read(now)
    return domains.flatMap((domain) => this._reportsOf(domain.failureDomain, domain.burn, now))
  }

  private _reportsOf (failureDomain: FailureDomain, counts: readonly IBurnMinute[], now: Timestamp): readonly IBurnReport[] {
    const byService = new Map<ServiceName, IBurnMinute[]>()
    for (const count of counts) byService.set(count.service, [...byService.get(count.service) ?? [], count])
    const reports: IBurnReport[] = []
    for (const [service, minutes] of byService) {
      const objective = this._objective(service)
      if (objective === undefined) continue
      const windows = BURN_WINDOWS_MS.map((window) => toBurnWindow(window, sumSince(minutes, now - window), objective))
      reports.push({ service, failureDomain, objective, windows })
    }
    return reports
  }

  /** Returns the objective's share of good calls in percent; undefined if the service has no active document. */
  private _objective (service: ServiceName): number | undefined {
    return this._options.snapshots.current.documents.get(service)?.document?.objective.availability
  }

  private _windowsOf (service: ServiceName): BurnWindows {
    const known = this._windows.get(service)
    if (known !== undefined) return known
    const windows = new BurnWindows()
    this._windows.set(service, windows)
    return windows
  }

  private _pendingOf (service: ServiceName, now: Timestamp): IPendingCount {
    const minute = now - now % MINUTE_MS as Timestamp
    const key = `${service} ${minute}`
    const known = this._pending.get(key)
    if (known !== undefined) return known
    const pending = { service, minute, good: 0, bad: 0 }
    this._pending.set(key, pending)
    return pending
  }
}

function sumSince (minutes: readonly IBurnMinute[], since: number): IBurnSum {
  let good = 0
  let bad = 0
  for (const minute of minutes) {
    if (minute.minute + MINUTE_MS <= since) continue
    good += minute.good
    bad += minute.bad
  }
  return { good, bad }
}
