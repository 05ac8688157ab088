/** Joins the failure domain, and joins again after isolation. */
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

/** What the bootstrap uses of the overlay. */
export interface IContacts {
  readonly links: readonly IPeerLink[]
  /** Opens a link; rejects with `JoinRefusedError` or another error. */
  contact (address: NetworkAddress): Promise<INodeRecord>
}

/** What the bootstrap needs. */
export interface IBootstrapServiceOptions {
  readonly membership: MembershipService
  readonly overlay: IContacts
  readonly directory: DirectoryService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings?: Partial<IBootstrapSettings>
}

/** How often a node that has links looks whether it still has. */
const LINK_CHECK_MS = 1_000 as Milliseconds

/** Tries for ever with waits drawn evenly from 0 to a bound that grows; one task. */
export class BootstrapService extends Disposable implements IService {
  private readonly _settings: IBootstrapSettings
  private _failedAttempts = 0
  private _hasEnteredSlot = false

  constructor (private readonly _options: IBootstrapServiceOptions) {
    super()
    this._settings = { ...DEFAULT_BOOTSTRAP_SETTINGS, ..._options.settings }
  }

  /** Does not wait for the join; a node alone is a failure domain by itself. */
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
    await clock.sleep(this._draw(this._settings.startJitter))
    while (!this.isDisposed) {
      if (this._hasLocalLink()) {
        this._failedAttempts = 0
        await clock.sleep(LINK_CHECK_MS)
      } else await this._attempt()
    }
  }

  private _hasLocalLink (): boolean {
    return this._options.overlay.links.some((link) => link.isLocal)
  }

  private async _attempt (): Promise<void> {
    const { log, clock } = this._options
    const entries = await this._readDirectory()
    const address = await this._contactAny(this._candidates(entries ?? []))
    if (address !== undefined) {
      log.log(JOINED, { step: 'bootstrap.join', peer: address })
      return
    }
    if (entries !== undefined) await this._enterSlot()
    this._failedAttempts++
    log.log(JOIN_ATTEMPT_FAILED, { step: 'bootstrap.join', attempt: this._failedAttempts })
    await clock.sleep(this._draw(this._retryBound()))
  }

  private _retryBound (): Milliseconds {
    const { retryDelay, longestRetryDelay } = this._settings
    const bound = Math.min(longestRetryDelay, retryDelay * 2 ** Math.min(this._failedAttempts, 16))
    // A node in a slot is found by the others and need not look for them as often.
    return (this._hasEnteredSlot ? longestRetryDelay : bound) as Milliseconds
  }

  /** Undefined if the store does not answer. */
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

  /** Tries addresses in turn, also those that refusals name. */
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

  /** Undefined if the contact made a link to the failure domain, else whom to ask instead. */
  private async _contact (address: NetworkAddress): Promise<readonly NetworkAddress[] | undefined> {
    try {
      const peer = await this._options.overlay.contact(address)
      return peer.failureDomain === this._options.membership.self.failureDomain ? undefined : []
    } catch (error) {
      return error instanceof JoinRefusedError ? error.others.filter(isNetworkAddress) : []
    }
  }

  /** Nobody is there: joins whoever holds a slot drawn at random, or takes the slot. */
  private async _enterSlot (): Promise<void> {
    const { directory, membership, random, log } = this._options
    const { id, peerAddress, failureDomain } = membership.self
    const slot = random.integer(this._settings.directorySlots)
    try {
      const read = await directory.readSlot(failureDomain, slot)
      if (read.value?.id === id) this._hasEnteredSlot = true
      else if (!await this._joinHolder(read)) {
        if (this.isDisposed || this._hasEnteredSlot) return
        this._hasEnteredSlot = await directory.writeSlot(failureDomain, slot, { id, peerAddress }, read.expected)
        if (this._hasEnteredSlot) log.log(DIRECTORY_SLOT_TAKEN, { step: 'bootstrap.slot', slot })
      }
    } catch (error) {
      log.log(DIRECTORY_UNAVAILABLE, { step: 'bootstrap.slot', reason: String(error) })
    }
  }

  /** True if somebody answered at the slot's address or at one that it named; the slot is then not free. */
  private async _joinHolder (read: IDirectoryRead<IDirectoryEntry>): Promise<boolean> {
    if (read.value === undefined) return false
    try {
      await this._options.overlay.contact(read.value.peerAddress)
      return true
    } catch (error) {
      if (!(error instanceof JoinRefusedError)) return false
      await this._contactAny(error.others.filter(isNetworkAddress))
      return true
    }
  }

  private _draw (bound: Milliseconds): Milliseconds {
    return this._options.random.fraction() * bound as Milliseconds
  }
}
