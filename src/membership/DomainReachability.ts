/** Which failure domains can be heard. */
import { addDuration, durationBetween } from '../common/Ids.js'
import type { FailureDomain, ILocation, Milliseconds, NodeId, Region, Timestamp } from '../common/Types.js'

/** One failure domain as last heard. */
interface IHeardDomain extends ILocation {
  /** By links of this node or by statements. */
  lastHeardAt: Timestamp
  /** By links of this node alone; a statement must rest on nothing else, or two gateways could confirm each other's. */
  lastLinkedAt: Timestamp
  isReachable: boolean
}

/** A failure domain that the sender of a statement has not heard for some time. */
export interface ISilentDomain {
  readonly failureDomain: FailureDomain
  readonly silence: Milliseconds
}

/** What one gateway said last. */
interface IStatement {
  readonly receivedAt: Timestamp
  readonly silences: ReadonlyMap<FailureDomain, Milliseconds>
}

/** How reachability is judged. */
export interface IDomainReachabilityOptions {
  readonly own: FailureDomain
  /** A failure domain that was silent for longer is unreachable. */
  readonly timeout: Milliseconds
  /** A statement that was not repeated for longer does not count. */
  readonly statementLifetime: Milliseconds
}

/** What changed since the last look. */
export interface IReachabilityChange {
  readonly failureDomain: FailureDomain
  readonly isReachable: boolean
}

/** Keeps when each failure domain was last heard, by links of this node or by statements of its gateways. */
export class DomainReachability {
  private readonly _domains = new Map<FailureDomain, IHeardDomain>()
  private readonly _statements = new Map<NodeId, IStatement>()

  constructor (private readonly _options: IDomainReachabilityOptions) {}

  /** All failure domains that were ever heard of. */
  public get domains (): Iterable<Readonly<IHeardDomain>> {
    return this._domains.values()
  }

  /** Learns of a failure domain. A new one counts as heard now. */
  public discover (failureDomain: FailureDomain, region: Region, now: Timestamp): void {
    if (this._domains.has(failureDomain)) return
    this._domains.set(failureDomain, { failureDomain, region, lastHeardAt: now, lastLinkedAt: now, isReachable: true })
  }

  /** Something of the failure domain arrived over a direct link. */
  public hear (failureDomain: FailureDomain, now: Timestamp): void {
    const domain = this._domains.get(failureDomain)
    if (domain === undefined) return
    domain.lastLinkedAt = later(domain.lastLinkedAt, now)
    domain.lastHeardAt = later(domain.lastHeardAt, now)
  }

  /** A gateway of this failure domain states which others it does not hear; the rest it hears until it says otherwise. */
  public hearStatement (origin: NodeId, silent: readonly ISilentDomain[], now: Timestamp): void {
    const silences = new Map(silent.map((domain) => [domain.failureDomain, domain.silence]))
    this._statements.set(origin, { receivedAt: now, silences })
  }

  /** Drops statements of nodes that are no gateways any more, who hear nobody from then on. */
  public keepStatements (gateways: readonly NodeId[]): void {
    for (const origin of this._statements.keys()) {
      if (!gateways.includes(origin)) this._statements.delete(origin)
    }
  }

  public isReachable (failureDomain: FailureDomain): boolean {
    return this._domains.get(failureDomain)?.isReachable ?? true
  }

  /** Failure domains of which no link of this node heard for longer than the timeout. */
  public silentDomains (now: Timestamp): readonly ISilentDomain[] {
    return [...this._domains.values()]
      .filter((domain) => this._isSilent(domain, domain.lastLinkedAt, now))
      .map((domain) => ({ failureDomain: domain.failureDomain, silence: durationBetween(domain.lastLinkedAt, now) }))
  }

  /** Brings reachability up to date; gives what changed. */
  public sweep (now: Timestamp): readonly IReachabilityChange[] {
    this._dropOldStatements(now)
    const changes: IReachabilityChange[] = []
    for (const domain of this._domains.values()) {
      if (this._statements.size > 0) domain.lastHeardAt = later(domain.lastLinkedAt, this._lastStatedAt(domain.failureDomain, now))
      const isReachable = !this._isSilent(domain, domain.lastHeardAt, now)
      if (isReachable === domain.isReachable) continue
      domain.isReachable = isReachable
      changes.push({ failureDomain: domain.failureDomain, isReachable })
    }
    return changes
  }

  private _dropOldStatements (now: Timestamp): void {
    for (const [origin, statement] of this._statements) {
      if (durationBetween(statement.receivedAt, now) > this._options.statementLifetime) this._statements.delete(origin)
    }
  }

  /** When a failure domain was last heard by any gateway; a gateway that does not name it hears it still. */
  private _lastStatedAt (failureDomain: FailureDomain, now: Timestamp): Timestamp {
    let latest = 0 as Timestamp
    for (const { receivedAt, silences } of this._statements.values()) {
      const silence = silences.get(failureDomain)
      latest = later(latest, silence === undefined ? now : addDuration(receivedAt, -silence as Milliseconds))
    }
    return latest
  }

  private _isSilent (domain: IHeardDomain, heardAt: Timestamp, now: Timestamp): boolean {
    return domain.failureDomain !== this._options.own && durationBetween(heardAt, now) > this._options.timeout
  }
}

function later (first: Timestamp, second: Timestamp): Timestamp {
  return first > second ? first : second
}
