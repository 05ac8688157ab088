/** Tracks which failure domains are reachable. */
import { addDuration, durationBetween } from '../common/Ids.js'
import type { FailureDomain, ILocation, Milliseconds, NodeId, Region, Timestamp } from '../common/Types.js'

/** Last contact with one failure domain. */
interface IDomainContact extends ILocation {
  /** Last contact over links of this node or according to statements of gateways. */
  lastContactAt: Timestamp
  /** Last contact over links of this node only. Statements use this time, so that two gateways cannot confirm each other's statements. */
  lastLinkContactAt: Timestamp
  isReachable: boolean
}

/** A failure domain that was unresponsive to the sender of a statement. */
export interface IUnresponsiveDomain {
  readonly failureDomain: FailureDomain
  /** Time since the last contact. */
  readonly silence: Milliseconds
}

/** Most recent statement of one gateway. */
interface IStatement {
  readonly receivedAt: Timestamp
  readonly silenceByDomain: ReadonlyMap<FailureDomain, Milliseconds>
}

/** Options of DomainReachability. */
export interface IDomainReachabilityOptions {
  readonly ownDomain: FailureDomain
  /** A failure domain without contact for longer than this is unreachable. */
  readonly timeout: Milliseconds
  /** A statement expires after this time unless the gateway repeats it. */
  readonly statementLifetime: Milliseconds
}

/** Change of the reachability of one failure domain. */
export interface IReachabilityChange {
  readonly failureDomain: FailureDomain
  readonly isReachable: boolean
}

/** Keeps the last contact with each failure domain, over links of this node or according to statements of its gateways. */
export class DomainReachability {
  private readonly _domains = new Map<FailureDomain, IDomainContact>()
  private readonly _statements = new Map<NodeId, IStatement>()

  constructor (private readonly _options: IDomainReachabilityOptions) {}

  /** All known failure domains. */
  public get domains (): Iterable<Readonly<IDomainContact>> {
    return this._domains.values()
  }

  /** Adds a failure domain unless it is known; `now` then counts as its last contact. */
  public discover (failureDomain: FailureDomain, region: Region, now: Timestamp): void {
    if (this._domains.has(failureDomain)) return
    this._domains.set(failureDomain, { failureDomain, region, lastContactAt: now, lastLinkContactAt: now, isReachable: true })
  }

  /** Records that a message of the failure domain arrived over a link of this node. */
  public recordContact (failureDomain: FailureDomain, now: Timestamp): void {
    const domain = this._domains.get(failureDomain)
    if (domain === undefined) return
    domain.lastLinkContactAt = later(domain.lastLinkContactAt, now)
    domain.lastContactAt = later(domain.lastContactAt, now)
  }

  /** Records a statement of a gateway of the own failure domain. The gateway has contact with failure domains that it does not list. */
  public recordStatement (origin: NodeId, unresponsive: readonly IUnresponsiveDomain[], now: Timestamp): void {
    const silenceByDomain = new Map(unresponsive.map((domain) => [domain.failureDomain, domain.silence]))
    this._statements.set(origin, { receivedAt: now, silenceByDomain })
  }

  /** Drops statements of nodes that are no longer gateways and therefore no longer have links to other failure domains. */
  public retainStatementsFrom (gateways: readonly NodeId[]): void {
    for (const origin of this._statements.keys()) {
      if (!gateways.includes(origin)) this._statements.delete(origin)
    }
  }

  public isReachable (failureDomain: FailureDomain): boolean {
    return this._domains.get(failureDomain)?.isReachable ?? true
  }

  /** Failure domains from which no link of this node received anything for longer than the timeout. */
  public unresponsiveDomains (now: Timestamp): readonly IUnresponsiveDomain[] {
    return [...this._domains.values()]
      .filter((domain) => this._isTimedOut(domain, domain.lastLinkContactAt, now))
      .map((domain) => ({ failureDomain: domain.failureDomain, silence: durationBetween(domain.lastLinkContactAt, now) }))
  }

  /** Updates the reachability of all failure domains and returns the changes. */
  public sweep (now: Timestamp): readonly IReachabilityChange[] {
    this._dropExpiredStatements(now)
    const changes: IReachabilityChange[] = []
    for (const domain of this._domains.values()) {
      if (this._statements.size > 0) domain.lastContactAt = later(domain.lastLinkContactAt, this._statedContact(domain.failureDomain, now))
      const isReachable = !this._isTimedOut(domain, domain.lastContactAt, now)
      if (isReachable === domain.isReachable) continue
      domain.isReachable = isReachable
      changes.push({ failureDomain: domain.failureDomain, isReachable })
    }
    return changes
  }

  private _dropExpiredStatements (now: Timestamp): void {
    for (const [origin, statement] of this._statements) {
      if (durationBetween(statement.receivedAt, now) > this._options.statementLifetime) this._statements.delete(origin)
    }
  }

  /** Latest contact of any gateway with a failure domain; a gateway that does not list the domain has contact with it now. */
  private _statedContact (failureDomain: FailureDomain, now: Timestamp): Timestamp {
    let latest = 0 as Timestamp
    for (const { receivedAt, silenceByDomain } of this._statements.values()) {
      const silence = silenceByDomain.get(failureDomain)
      latest = later(latest, silence === undefined ? now : addDuration(receivedAt, -silence as Milliseconds))
    }
    return latest
  }

  private _isTimedOut (domain: IDomainContact, contactAt: Timestamp, now: Timestamp): boolean {
    return domain.failureDomain !== this._options.ownDomain && durationBetween(contactAt, now) > this._options.timeout
  }
}

function later (first: Timestamp, second: Timestamp): Timestamp {
  return first > second ? first : second
}
