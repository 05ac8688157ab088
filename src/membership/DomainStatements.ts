/** Gateways tell the members of their failure domain which others they do not hear. */
import { z } from 'zod'
import { Disposable } from '../common/Disposable.js'
import { DEFAULT_MEMBERSHIP_SETTINGS, type IMembershipSettings } from './Options.js'
import type { IClockService, IService } from '../common/Services.js'
import type { FailureDomain, Milliseconds, Timestamp } from '../common/Types.js'
import type { BroadcastService } from './BroadcastService.js'
import type { ISilentDomain } from './DomainReachability.js'
import type { MembershipService } from './MembershipService.js'
import type { RoleService } from './RoleService.js'
import type { IBroadcastMessage } from './Services.js'

/** Topic of the statements. */
export const DOMAIN_STATEMENT_TOPIC = 'silent-failure-domains'

const MAXIMUM_SILENT_DOMAINS = 256

const STATEMENT_SCHEMA = z.array(z.object({
  failureDomain: z.string().max(64),
  silence: z.number().min(0).max(Number.MAX_SAFE_INTEGER)
})).max(MAXIMUM_SILENT_DOMAINS)

/** What the statements need. */
export interface IDomainStatementsOptions {
  readonly membership: MembershipService
  readonly roles: RoleService
  readonly broadcast: BroadcastService
  readonly clock: IClockService
  readonly settings?: Partial<IMembershipSettings>
}

/** A statement goes out when it changes, and from time to time. */
export class DomainStatements extends Disposable implements IService {
  private readonly _settings: IMembershipSettings
  private _lastSentAt = 0 as Timestamp
  /** Since when this node is a gateway; undefined if it is none. */
  private _gatewaySince: Timestamp | undefined
  private _lastSilent = ''

  constructor (private readonly _options: IDomainStatementsOptions) {
    super()
    this._settings = { ...DEFAULT_MEMBERSHIP_SETTINGS, ..._options.settings }
    this.register(_options.broadcast.onMessage((message) => this._receive(message)))
  }

  public start (): void {
    const { clock } = this._options
    this.register(clock.every(this._settings.sweepInterval, () => this._state(clock.now())))
  }

  public stop (): void {
    this.dispose()
  }

  private _state (now: Timestamp): void {
    const { membership, roles, broadcast } = this._options
    membership.reachability.keepStatements(roles.holders('gateway', membership.self.failureDomain))
    this._gatewaySince = roles.isHeldBySelf('gateway') ? this._gatewaySince ?? now : undefined
    // A new gateway has yet to open its links, and would take every failure domain for silent.
    if (this._gatewaySince === undefined || now - this._gatewaySince < this._settings.domainTimeout) return
    const silent = membership.reachability.silentDomains(now)
    const names = silent.map((domain) => domain.failureDomain).join()
    const isDue = now - this._lastSentAt >= this._settings.statementInterval
    if (names === this._lastSilent && !isDue) return
    this._lastSentAt = now
    this._lastSilent = names
    broadcast.publishLocally(DOMAIN_STATEMENT_TOPIC, Buffer.from(JSON.stringify(silent)))
  }

  private _receive ({ topic, origin, payload }: IBroadcastMessage): void {
    if (topic !== DOMAIN_STATEMENT_TOPIC) return
    const silent = parseStatement(payload)
    const { membership, clock } = this._options
    const isFromOwnDomain = membership.members.get(origin)?.failureDomain === membership.self.failureDomain
    if (silent !== undefined && isFromOwnDomain) membership.reachability.hearStatement(origin, silent, clock.now())
  }
}

function parseStatement (payload: Uint8Array): readonly ISilentDomain[] | undefined {
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
