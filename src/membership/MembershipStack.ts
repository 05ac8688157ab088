/** Composes the services of the membership module. */
import { BootstrapService } from './BootstrapService.js'
import { BroadcastService } from './BroadcastService.js'
import { DirectoryRefresher } from './DirectoryRefresher.js'
import { DirectoryService } from './DirectoryService.js'
import { UnresponsiveDomainBroadcast } from './UnresponsiveDomainBroadcast.js'
import { MembershipService, type ISelfOptions } from './MembershipService.js'
import { OverlayService } from './OverlayService.js'
import { RecordExchange } from './RecordExchange.js'
import { RoleService } from './RoleService.js'
import type { IClockService, ILogService, IMetricsService, IRandomService, IService } from '../common/Services.js'
import type { IObjectStore } from '../platform/Services.js'
import type { IBootstrapSettings, IMembershipSettings, IOverlaySettings, IRecordExchangeSettings } from './Options.js'
import type { IPeerTransport } from './Services.js'

/** Dependencies and settings of MembershipStack. */
export interface IMembershipStackOptions {
  readonly self: ISelfOptions
  readonly transport: IPeerTransport
  readonly objects: IObjectStore
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly membership?: Partial<IMembershipSettings>
  readonly overlay?: Partial<IOverlaySettings>
  readonly recordExchange?: Partial<IRecordExchangeSettings>
  readonly bootstrap?: Partial<IBootstrapSettings>
}

/** Creates all services in the constructor, so that listeners can be added before `start`; stops them in reverse order. */
export class MembershipStack implements IService {
  public readonly membership: MembershipService
  public readonly roles: RoleService
  public readonly overlay: OverlayService
  public readonly broadcast: BroadcastService
  private readonly _services: readonly IService[]

  constructor (options: IMembershipStackOptions) {
    const { transport, clock, random, log } = options
    const membership = new MembershipService({ ...options, settings: options.membership })
    const roles = new RoleService({ membership, clock })
    const overlay = new OverlayService({ transport, membership, roles, clock, random, log, settings: options.overlay })
    const exchange = new RecordExchange({ membership, overlay, clock, random, log, settings: options.recordExchange })
    const broadcast = new BroadcastService({ overlay, self: membership.self, clock, log })
    const statements = new UnresponsiveDomainBroadcast({ membership, roles, broadcast, clock, settings: options.membership })
    const directory = new DirectoryService({ objects: options.objects, log })
    const sharedOptions = { membership, roles, overlay, directory, clock, random, log, settings: options.bootstrap }
    this.membership = membership
    this.roles = roles
    this.overlay = overlay
    this.broadcast = broadcast
    const refresher = new DirectoryRefresher(sharedOptions)
    const bootstrap = new BootstrapService(sharedOptions)
    this._services = [membership, roles, exchange, broadcast, statements, overlay, refresher, bootstrap]
  }

  public async start (): Promise<void> {
    for (const service of this._services) await service.start?.()
  }

  /** Stops without an announcement; call `membership.leave` first for a planned stop. */
  public async stop (): Promise<void> {
    for (const service of [...this._services].reverse()) await service.stop?.()
  }
}
