/** Joins the failure domain at the start, and again after this node lost all links inside it. */
import { Disposable } from '../common/Disposable.js'
import { DIRECTORY_SLOT_TAKEN, DIRECTORY_UNAVAILABLE, JOIN_ATTEMPT_FAILED, JOINED } from './Events.js'
import { JoinRefusedError } from './MembershipErrors.js'
import { DEFAULT_BOOTSTRAP_SETTINGS, type IBootstrapSettings } from './Options.js'
import { isNetworkAddress } from './RecordCodec.js'
import { shuffle } from './Shuffle.js'
import type { IClockService, ILogService, IRandomService, IService } from '../common/Services.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import type { DirectoryService } from './DirectoryService.js'
import type { IDirectoryEntry, IDirectoryRead } from './DirectoryTypes.js'
import type { MembershipService } from './MembershipService.js'
import type { IPeerLink } from './Services.js'
import type { INodeRecord } from './Types.js'

/** Operations of the overlay that the bootstrap uses. */
export interface IBootstrapOverlay {
  readonly links: readonly IPeerLink[]
  /** Opens a link to the node at the address; rejects with `JoinRefusedError` or another error. */
  contact (address: NetworkAddress): Promise<INodeRecord>
}

/** Dependencies and settings of BootstrapService. */
export interface IBootstrapServiceOptions {
  readonly membership: MembershipService
  readonly overlay: IBootstrapOverlay
  readonly directory: DirectoryService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings?: Partial<IBootstrapSettings>
}

/** How often a node with a link in its failure domain checks whether it still has one. */
const LINK_CHECK_INTERVAL_MS = 1_000 as Milliseconds

/** Tries to join whenever this node has no link inside its failure domain. Delays are drawn uniformly from 0 to a bound that grows. */
export class BootstrapService extends Disposable implements IService {
  private readonly _settings: IBootstrapSettings
  private _failedAttempts = 0
  private _hasOwnSlot = false

  constructor (private readonly _options: IBootstrapServiceOptions) {
    super()
    this._settings = { ...DEFAULT_BOOTSTRAP_SETTINGS, ..._options.settings }
  }

  /** Returns without waiting for the join; a single node forms a failure domain by itself. */
  public start (): void {
    this._run().catch((error: unknown) => {
      this._options.log.log(JOIN_ATTEMPT_FAILED, { step: 'bootstrap.run', reason: String(error) })
    })
  }

  public stop (): void {
    this.dispose()
  }

  private async _run (): Promise<void> {
    const { clock } = this._options
    await clock.sleep(this._drawDelay(this._settings.startJitter))
    while (!this.isDisposed) {
      if (this._hasLocalLink()) {
        this._failedAttempts = 0
        await clock.sleep(LINK_CHECK_INTERVAL_MS)
      } else await this._attemptJoin()
    }
  }

  private _hasLocalLink (): boolean {
    return this._options.overlay.links.some((link) => link.isLocal)
  }

  private async _attemptJoin (): Promise<void> {
    const { log, clock } = this._options
    const entries = await this._readDirectory()
    const address = await this._contactAny(this._candidates(entries ?? []))
    if (address !== undefined) {
      log.log(JOINED, { step: 'bootstrap.join', peer: address })
      return
    }
    if (entries !== undefined) await this._joinThroughSlot()
    this._failedAttempts++
    log.log(JOIN_ATTEMPT_FAILED, { step: 'bootstrap.join', attempt: this._failedAttempts })
    await clock.sleep(this._drawDelay(this._maximumRetryWait()))
  }

  private _maximumRetryWait (): Milliseconds {
    const { retryDelay, maximumRetryDelay } = this._settings
    const bound = Math.min(maximumRetryDelay, retryDelay * 2 ** Math.min(this._failedAttempts, 16))
    // Other nodes find a node that is registered in a slot, so it retries less often.
    return (this._hasOwnSlot ? maximumRetryDelay : bound) as Milliseconds
  }

  /** Returns undefined if the store does not respond. */
  private async _readDirectory (): Promise<readonly IDirectoryEntry[] | undefined> {
    const { directory, membership, log } = this._options
    try {
      const read = await directory.readMembers(membership.self.failureDomain)
      return read.value?.members ?? []
    } catch (error) {
      log.log(DIRECTORY_UNAVAILABLE, { step: 'bootstrap.directory', reason: String(error) })
      return undefined
    }
  }

  private _candidates (entries: readonly IDirectoryEntry[]): readonly NetworkAddress[] {
    const { membership, random } = this._options
    const { self } = membership
    const known = membership.aliveIn(self.failureDomain)
    const addresses = new Set<NetworkAddress>([...entries, ...known].map((member) => member.peerAddress))
    for (const peer of this._settings.peers) {
      if (isNetworkAddress(peer)) addresses.add(peer)
    }
    addresses.delete(self.peerAddress)
    return shuffle([...addresses], random)
  }

  /** Contacts addresses one after the other, including those returned with refusals, and returns the first with which a link opened. */
  private async _contactAny (candidates: readonly NetworkAddress[]): Promise<NetworkAddress | undefined> {
    const { membership, random } = this._options
    const queue = [...candidates]
    const tried = new Set<NetworkAddress>([membership.self.peerAddress])
    const limit = this._settings.contactsPerAttempt
    while (queue.length > 0 && tried.size <= limit && !this.isDisposed) {
      const address = queue.shift() as NetworkAddress
      if (tried.has(address)) continue
      tried.add(address)
      const others = await this._contact(address)
      if (others === undefined) return address
      queue.unshift(...shuffle(others, random))
    }
    return undefined
  }

  /** Returns undefined if a link to a node of the own failure domain opened, otherwise the addresses to contact instead. */
  private async _contact (address: NetworkAddress): Promise<readonly NetworkAddress[] | undefined> {
    try {
      const peer = await this._options.overlay.contact(address)
      return peer.failureDomain === this._options.membership.self.failureDomain ? undefined : []
    } catch (error) {
      return error instanceof JoinRefusedError ? error.otherAddresses.filter(isNetworkAddress) : []
    }
  }

  /** Called if no contact succeeded. Joins the node in a random slot; if the slot is free or its node is unreachable, takes the slot. */
  private async _joinThroughSlot (): Promise<void> {
    const { directory, membership, random, log } = this._options
    const { id, peerAddress, failureDomain } = membership.self
    const slot = random.integer(this._settings.directorySlots)
    try {
      const read = await directory.readSlot(failureDomain, slot)
      if (read.value?.id === id) this._hasOwnSlot = true
      else if (!await this._joinSlotHolder(read)) {
        if (this.isDisposed || this._hasOwnSlot) return
        this._hasOwnSlot = await directory.writeSlot(failureDomain, slot, { id, peerAddress }, read.expected)
        if (this._hasOwnSlot) log.log(DIRECTORY_SLOT_TAKEN, { step: 'bootstrap.slot', slot })
      }
    } catch (error) {
      log.log(DIRECTORY_UNAVAILABLE, { step: 'bootstrap.slot', reason: String(error) })
    }
  }

  /** Returns true if the node in the slot accepted or refused the join; the slot is then in use. */
  private async _joinSlotHolder (read: IDirectoryRead<IDirectoryEntry>): Promise<boolean> {
    if (read.value === undefined) return false
    try {
      await this._options.overlay.contact(read.value.peerAddress)
      return true
    } catch (error) {
      if (!(error instanceof JoinRefusedError)) return false
      await this._contactAny(error.otherAddresses.filter(isNetworkAddress))
      return true
    }
  }

  private _drawDelay (bound: Milliseconds): Milliseconds {
    return this._options.random.fraction() * bound as Milliseconds
  }
}
