/** Keeps the directory objects current and connects to members and failure domains that are only known from the directory. */
import { Disposable } from '../common/Disposable.js'
import { DIRECTORY_UNAVAILABLE } from './Events.js'
import { DEFAULT_BOOTSTRAP_SETTINGS, type IBootstrapSettings } from './Options.js'
import { shuffle } from './Shuffle.js'
import type { IClockService, ILogService, IRandomService, IService } from '../common/Services.js'
import type { FailureDomain, Milliseconds, Timestamp } from '../common/Types.js'
import type { DirectoryService } from './DirectoryService.js'
import type { IDirectoryEntry, IDirectoryObject } from './DirectoryTypes.js'
import type { MembershipService } from './MembershipService.js'
import type { OverlayService } from './OverlayService.js'
import type { RoleService } from './RoleService.js'

/** Dependencies and settings of DirectoryRefresher. */
export interface IDirectoryRefresherOptions {
  readonly membership: MembershipService
  readonly roles: RoleService
  readonly overlay: OverlayService
  readonly directory: DirectoryService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings?: Partial<IBootstrapSettings>
}

/** Maximum delay of the first refresh; it is short so that separately formed parts of a failure domain merge soon. */
const FIRST_REFRESH_MS = 2_000 as Milliseconds

/** Maximum number of addresses contacted in one failure domain per refresh. */
const MAXIMUM_CONTACTS = 4

/**
 * The first report collector of a failure domain writes its members object. Gateways read the members objects of failure
 * domains to which they have no link. If a failure domain is split into two parts, each part has a first report
 * collector, and each finds the members of the other part in the object.
 */
export class DirectoryRefresher extends Disposable implements IService {
  private readonly _settings: IBootstrapSettings

  constructor (private readonly _options: IDirectoryRefresherOptions) {
    super()
    this._settings = { ...DEFAULT_BOOTSTRAP_SETTINGS, ..._options.settings }
  }

  public start (): void {
    this._run().catch((error: unknown) => this._logUnavailable('directory.run', error))
  }

  public stop (): void {
    this.dispose()
  }

  private async _run (): Promise<void> {
    const { clock } = this._options
    await clock.sleep(this._jittered(FIRST_REFRESH_MS))
    while (!this.isDisposed) {
      await this._refreshAndLogFailures()
      await clock.sleep(this._jittered(this._settings.refreshInterval))
    }
  }

  private async _refreshAndLogFailures (): Promise<void> {
    const { roles, membership, clock } = this._options
    try {
      const { self } = membership
      const isWriter = roles.holders('report-collector', self.failureDomain)[0] === self.id
      if (isWriter) await this._refreshOwnDomain(clock.now())
      if (roles.isHeldBySelf('gateway')) await this._contactForeignDomains()
    } catch (error) {
      this._logUnavailable('directory.refresh', error)
    }
  }

  private async _refreshOwnDomain (now: Timestamp): Promise<void> {
    const { directory, membership } = this._options
    const { failureDomain } = membership.self
    const read = await directory.readMembers(failureDomain)
    await this._contactUnknownMembers([...read.value?.members ?? [], ...await this._readSlots()])
    const members = this._chooseMembers(read.value)
    if (!this._shouldWrite(read.value, members, now)) return
    await directory.writeMembers(failureDomain, { writtenAt: now, members }, read.expected)
    await this._addToDomainList()
  }

  private async _readSlots (): Promise<readonly IDirectoryEntry[]> {
    const { directory, membership } = this._options
    const entries: IDirectoryEntry[] = []
    for (let slot = 0; slot < this._settings.directorySlots; slot++) {
      const read = await directory.readSlot(membership.self.failureDomain, slot)
      if (read.value !== undefined) entries.push(read.value)
    }
    return entries
  }

  /** Contacts members that are in the directory but unknown to this node; they belong to another part of the failure domain. */
  private async _contactUnknownMembers (entries: readonly IDirectoryEntry[]): Promise<void> {
    const { membership, overlay, random } = this._options
    const unknownEntries = entries.filter((entry) => !membership.members.has(entry.id) && entry.peerAddress !== membership.self.peerAddress)
    const addresses = [...new Set(unknownEntries.map((entry) => entry.peerAddress))]
    for (const address of shuffle(addresses, random).slice(0, MAXIMUM_CONTACTS)) {
      await overlay.contact(address).catch(() => undefined)
    }
  }

  /** Keeps the members of the current object that are alive, so that the object rarely changes. */
  private _chooseMembers (current: IDirectoryObject | undefined): readonly IDirectoryEntry[] {
    const { membership, random } = this._options
    const alive = membership.aliveIn(membership.self.failureDomain)
    const aliveById = new Map(alive.map((record) => [record.id, record]))
    const kept = (current?.members ?? []).filter((entry) => aliveById.has(entry.id))
    const added = shuffle(alive.filter((record) => !kept.some((entry) => entry.id === record.id)), random)
    const entries = [...kept, ...added].slice(0, this._settings.directoryMembers)
    return entries.map(({ id, peerAddress }) => ({ id, peerAddress }))
  }

  private _shouldWrite (current: IDirectoryObject | undefined, members: readonly IDirectoryEntry[], now: Timestamp): boolean {
    if (current === undefined || now - current.writtenAt >= this._settings.rewriteInterval) return true
    return members.map((entry) => entry.id).join() !== current.members.map((entry) => entry.id).join()
  }

  private async _addToDomainList (): Promise<void> {
    const { directory, membership } = this._options
    const { failureDomain, region } = membership.self
    const read = await directory.readDomains()
    const domains = read.value?.domains ?? []
    if (domains.some((domain) => domain.failureDomain === failureDomain)) return
    await directory.writeDomains({ domains: [...domains, { failureDomain, region }] }, read.expected)
  }

  private async _contactForeignDomains (): Promise<void> {
    const { directory, membership, overlay, clock } = this._options
    const listed = (await directory.readDomains()).value?.domains ?? []
    for (const { failureDomain, region } of listed) {
      if (failureDomain === membership.self.failureDomain) continue
      membership.reachability.discover(failureDomain, region, clock.now())
      const isLinked = overlay.links.some((link) => link.peer.failureDomain === failureDomain)
      if (!isLinked) await this._contactForeignDomain(failureDomain)
    }
  }

  private async _contactForeignDomain (failureDomain: FailureDomain): Promise<void> {
    const { directory, overlay, random } = this._options
    const members = (await directory.readMembers(failureDomain)).value?.members ?? []
    for (const entry of shuffle(members, random).slice(0, MAXIMUM_CONTACTS)) {
      const isReached = await overlay.contact(entry.peerAddress).then(() => true, () => false)
      if (isReached) return
    }
  }

  private _jittered (duration: Milliseconds): Milliseconds {
    return duration * (1 + this._options.random.fraction()) / 2 as Milliseconds
  }

  private _logUnavailable (step: string, error: unknown): void {
    if (!this.isDisposed) this._options.log.log(DIRECTORY_UNAVAILABLE, { step, reason: String(error) })
  }
}
