/** Reads the reports of all failure domains. */
import { durationBetween } from '../../common/Ids.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { FailureDomain, Milliseconds, Timestamp } from '../../common/Types.js'
import type { IMembershipService } from '../../membership/Services.js'
import { REPORT_READ_FAILED } from '../Events.js'
import type { IBurnMinute, IDomainReport } from '../Services.js'
import { reasonOf, withTimeout } from '../Timeouts.js'
import type { DomainObjects, IStatusContent } from './DomainObjects.js'

/** Dependencies and limits of `DomainReader`. */
export interface IDomainReaderOptions {
  readonly membership: IMembershipService
  readonly objects: DomainObjects
  readonly clock: IClockService
  readonly log: ILogService
  readonly timeout: Milliseconds
  readonly maximumReportAge: Milliseconds
}

/** A failure domain whose status is missing, too old or unreadable is reported with `isHeard` false and without versions. */
export class DomainReader {
  constructor (private readonly _options: IDomainReaderOptions) {}

  /** Never rejects. Reads two objects of the store per failure domain. */
  public async read (now: Timestamp): Promise<readonly IDomainReport[]> {
    const domains = new Set([this._options.membership.self.failureDomain])
    for (const { failureDomain } of this._options.membership.domains(now)) domains.add(failureDomain)
    return await Promise.all(Array.from(domains).sort().map((domain) => this._readOne(domain, now)))
  }

  private async _readOne (domain: FailureDomain, now: Timestamp): Promise<IDomainReport> {
    const { objects } = this._options
    const [status, burn] = await Promise.all([
      this._tryRead(domain, objects.readStatus(domain)),
      this._tryRead(domain, objects.readBurn(domain))
    ])
    return this._describe(domain, status, burn ?? [], now)
  }

  private _describe (
    domain: FailureDomain, status: IStatusContent | undefined, burn: readonly IBurnMinute[], now: Timestamp
  ): IDomainReport {
    const writtenAt = status?.writtenAt ?? 0 as Timestamp
    const isHeard = status !== undefined && durationBetween(writtenAt, now) <= this._options.maximumReportAge
    const services = isHeard ? status.services : []
    return { failureDomain: domain, writtenAt, isHeard, members: status?.members ?? 0, services, burn }
  }

  private async _tryRead<TResult> (domain: FailureDomain, call: Promise<TResult>): Promise<TResult | undefined> {
    const { clock, timeout, log } = this._options
    try {
      return await withTimeout(clock, call, timeout, 'report.read')
    } catch (error) {
      log.log(REPORT_READ_FAILED, { step: 'report.read', peer: 'store', failureDomain: domain, reason: reasonOf(error) })
      return undefined
    }
  }
}
