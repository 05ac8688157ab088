/** Gateways state to the members of their own failure domain which other failure domains are unresponsive. */
import { z } from 'zod'
import { Disposable } from '../common/Disposable.js'
import { DEFAULT_MEMBERSHIP_SETTINGS, type IMembershipSettings } from './Options.js'
import type { IClockService, IService } from '../common/Services.js'
import type { FailureDomain, Milliseconds, Timestamp } from '../common/Types.js'
import type { BroadcastService } from './BroadcastService.js'
import type { IUnresponsiveDomain } from './DomainReachability.js'
import type { MembershipService } from './MembershipService.js'
import type { RoleService } from './RoleService.js'
import type { IBroadcastMessage } from './Services.js'

/** Broadcast topic of the statements. */
export const DOMAIN_STATEMENT_TOPIC = 'silent-failure-domains'

const MAXIMUM_UNRESPONSIVE_DOMAINS = 256

const STATEMENT_SCHEMA = z.array(z.object({
  failureDomain: z.string().max(64),
  silence: z.number().min(0).max(Number.MAX_SAFE_INTEGER)
})).max(MAXIMUM_UNRESPONSIVE_DOMAINS)

/** Dependencies and settings of `UnresponsiveDomainBroadcast`. */
export interface IUnresponsiveDomainBroadcastOptions {
  readonly membership: MembershipService
  readonly roles: RoleService
  readonly broadcast: BroadcastService
  readonly clock: IClockService
  readonly settings?: Partial<IMembershipSettings>
}

/** Publishes a statement when it changes, and repeats it periodically. */
export class UnresponsiveDomainBroadcast extends Disposable implements IService {
  private readonly _settings: IMembershipSettings
  private _lastSentAt = 0 as Timestamp
  /** When this node became a gateway; undefined if it is none. */
  private _gatewaySince: Timestamp | undefined
  private _lastSentDomains = ''

  constructor (private readonly _options: IUnresponsiveDomainBroadcastOptions) {
    super()
    this._settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ..._options.settings }
    this.register(_options.broadcast.onMessage((message) => this._receive(message)))
  }

  public start (): void {
    const { clock } = this._options
    this.register(clock.every(this._settings.sweepInterval, () => this._publishIfDue(clock.now())))
  }

  public stop (): void {
    this.dispose()
  }

  private _publishIfDue (now: Timestamp): void {
    const { membership, roles, broadcast } = this._options
    membership.reachability.retainStatementsFrom(roles.holders('gateway', membership.self.failureDomain))
    this._gatewaySince = roles.isHeldBySelf('gateway') ? this._gatewaySince ?? now : undefined
    // A new gateway has not opened its links yet and would consider every other failure domain unresponsive.
    if (this._gatewaySince === undefined || now - this._gatewaySince < this._settings.domainTimeout) return
    const unresponsive = membership.reachability.unresponsiveDomains(now)
    const names = unresponsive.map((domain) => domain.failureDomain).join()
    const isDue = now - this._lastSentAt >= this._settings.statementInterval
    if (names === this._lastSentDomains && !isDue) return
    this._lastSentAt = now
    this._lastSentDomains = names
    broadcast.publishLocally(DOMAIN_STATEMENT_TOPIC, Buffer.from(JSON.stringify(unresponsive)))
  }

  private _receive ({ topic, origin, payload }: IBroadcastMessage): void {
    if (topic !== DOMAIN_STATEMENT_TOPIC) return
    const unresponsive = parseStatement(payload)
    const { membership, clock } = this._options
    const isFromOwnDomain = membership.members.get(origin)?.failureDomain === membership.self.failureDomain
    if (unresponsive !== undefined && isFromOwnDomain) membership.reachability.recordStatement(origin, unresponsive, clock.now())
  }
}

function parseStatement (payload: Uint8Array): readonly IUnresponsiveDomain[] | undefined {
  let value: unknown
  try {
    value = JSON.parse(Buffer.from(payload).toString('utf8'))
  } catch {
    return undefined
  }
  const parsed = STATEMENT_SCHEMA.safeParse(value)
  if (!parsed.success) return undefined
  return parsed.data.map((domain) => ({ failureDomain: domain.failureDomain as FailureDomain, silence: domain.silence as Milliseconds }))
}
