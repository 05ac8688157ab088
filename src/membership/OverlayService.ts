/** Maintains the bounded-degree overlay inside the failure domain and, on gateways, the links to other failure domains. */
import { addDuration } from '../common/Ids.js'
import { Disposable } from '../common/Disposable.js'
import { Emitter } from '../common/Emitter.js'
import { JOIN_REFUSED, LINK_OPENED, PEER_MESSAGE_INVALID } from './Events.js'
import { createHello, Handshake } from './Handshake.js'
import { JoinAdmission } from './JoinAdmission.js'
import { LinkTable } from './LinkTable.js'
import { JoinRefusedError } from './MembershipErrors.js'
import { DEFAULT_OVERLAY_SETTINGS, type IOverlaySettings } from './Options.js'
import { OverlayTargets } from './OverlayTargets.js'
import { PeerLink } from './PeerLink.js'
import { toWireRecord } from './RecordCodec.js'
import { isDeadOrLeft, isNewerRecord } from './RecordOrder.js'
import { RedialBackoff } from './RedialBackoff.js'
import type { IClockService, ILogService, IRandomService, IService } from '../common/Services.js'
import type { FailureDomain, IEvent, Milliseconds, NetworkAddress, NodeId, Timestamp } from '../common/Types.js'
import type { MembershipService } from './MembershipService.js'
import type { RoleService } from './RoleService.js'
import type { IOverlayService, IPeerChannel, IPeerTransport } from './Services.js'
import type { INodeRecord } from './Types.js'

/** Dependencies and settings of OverlayService. */
export interface IOverlayServiceOptions {
  readonly transport: IPeerTransport
  readonly membership: MembershipService
  readonly roles: RoleService
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly settings?: Partial<IOverlaySettings>
}

/** Maximum number of alternative addresses in a join refusal. */
const MAXIMUM_ADDRESSES_IN_REFUSAL = 8

/** How often one random dead member is dialled, which reconnects a failure domain after a partition. */
const DEAD_PROBE_INTERVAL_MS = 3_000 as Milliseconds

/** Dials the targets, suspects unresponsive peers of the own failure domain and closes links that are not needed. */
export class OverlayService extends Disposable implements IOverlayService, IService {
  private readonly _settings: IOverlaySettings
  private readonly _linkTable: LinkTable
  private readonly _targets: OverlayTargets
  private readonly _backoff: RedialBackoff
  private readonly _admission: JoinAdmission
  private readonly _onLinkOpened = this.register(new Emitter<PeerLink>())
  private readonly _dialsInProgress = new Set<NodeId>()
  private readonly _handshakes = new Set<Handshake>()
  private _nextDeadProbeAt: Timestamp
  private _isStopping = false

  constructor (private readonly _options: IOverlayServiceOptions) {
    super()
    this._settings = { ...DEFAULT_OVERLAY_SETTINGS, ..._options.settings }
    const { membership, roles, random, clock } = _options
    this._linkTable = new LinkTable(membership.self.id)
    this._targets = this.register(new OverlayTargets({ membership, roles, random, settings: this._settings }))
    this._backoff = new RedialBackoff({ ...this._settings, random })
    this._admission = new JoinAdmission(this._settings)
    this._nextDeadProbeAt = addDuration(clock.now(), DEAD_PROBE_INTERVAL_MS)
  }

  public get links (): readonly PeerLink[] {
    return this._linkTable.links
  }

  public get onLinkOpened (): IEvent<PeerLink> {
    return this._onLinkOpened.event
  }

  public async start (): Promise<void> {
    const { transport, clock } = this._options
    await transport.listen((channel) => this._accept(channel))
    this.register(clock.every(this._settings.maintenanceInterval, () => this._maintainLinks(clock.now())))
  }

  /** Closes every link deliberately, so that no peer suspects this node. */
  public async stop (): Promise<void> {
    this._isStopping = true
    for (const link of this.links) link.close('stopping')
    for (const handshake of this._handshakes) handshake.dispose()
    this.dispose()
    await this._options.transport.close()
  }

  /** Opens a link to the node at the address and returns its record; rejects if there is none or it refuses. */
  public async contact (address: NetworkAddress): Promise<INodeRecord> {
    const channel = await this._options.transport.dial(address)
    return await new Promise((resolve, reject) => {
      const onHelloReceived = (peer: INodeRecord): void => {
        this._addLink(channel, peer, true)
        resolve(peer)
      }
      this._startHandshake(channel, onHelloReceived, reject)
      channel.send(createHello(this._options.membership.self, true))
    })
  }

  private _accept (channel: IPeerChannel): void {
    const { log, membership, clock } = this._options
    this._startHandshake(channel, (peer) => {
      const refusal = this._refusalReason(peer, clock.now())
      if (refusal !== undefined) {
        log.log(JOIN_REFUSED, { step: 'overlay.accept', peer: peer.id, reason: refusal })
        channel.send({ joinRefusal: { reason: refusal, otherAddresses: this._chooseOtherAddresses(peer.id) } })
        channel.dispose()
        return
      }
      channel.send(createHello(membership.self, this._isLocal(peer)))
      this._addLink(channel, peer, false)
    }, (error) => log.log(PEER_MESSAGE_INVALID, { step: 'overlay.hello', peer: channel.remoteAddress, reason: error.message }))
  }

  private _startHandshake (channel: IPeerChannel, onHelloReceived: (peer: INodeRecord) => void, onFailed: (error: Error) => void): void {
    const { clock } = this._options
    const handshake = new Handshake({
      channel,
      clock,
      helloTimeout: this._settings.helloTimeout,
      onHelloReceived: (peer) => {
        this._handshakes.delete(handshake)
        onHelloReceived(peer)
      },
      onFailed: (error) => {
        this._handshakes.delete(handshake)
        onFailed(error)
      }
    })
    this._handshakes.add(handshake)
  }

  private _refusalReason (peer: INodeRecord, now: Timestamp): string | undefined {
    const { membership } = this._options
    if (this._isStopping) return 'stopping'
    if (peer.id === membership.self.id) return 'this is the node itself'
    if (this._linkTable.get(peer.id) !== undefined) return undefined
    const isLocal = this._isLocal(peer)
    const limit = isLocal ? this._settings.maximumLocalLinks : this._settings.maximumGatewayLinks
    if (this._linkTable.count(isLocal) >= limit) return 'full'
    if (membership.members.has(peer.id) || this._admission.admit(now)) return undefined
    return 'too many joins'
  }

  private _chooseOtherAddresses (except: NodeId): NetworkAddress[] {
    const { membership, random } = this._options
    const others = membership.aliveIn(membership.self.failureDomain)
      .filter((record) => record.id !== except && record.id !== membership.self.id)
    const chosen = new Set<NetworkAddress>()
    for (let draw = 0; draw < MAXIMUM_ADDRESSES_IN_REFUSAL && others.length > 0; draw++) {
      chosen.add((others[random.integer(others.length)] as INodeRecord).peerAddress)
    }
    return [...chosen]
  }

  private _addLink (channel: IPeerChannel, peer: INodeRecord, isDialled: boolean): void {
    const { membership, clock, log } = this._options
    if (this._isStopping || peer.id === membership.self.id) {
      channel.dispose()
      return
    }
    const link = new PeerLink({ channel, peer, isLocal: this._isLocal(peer), isDialled, clock, log, settings: this._settings })
    const redundant = this._linkTable.add(link)
    redundant?.close('duplicate')
    if (redundant === link) return
    link.onClosed(() => this._onLinkClosed(link))
    this._activateLink(link)
  }

  private _activateLink (link: PeerLink): void {
    const { membership, clock, log } = this._options
    const { peer } = link
    log.log(LINK_OPENED, { step: 'overlay.link', peer: peer.id, address: peer.peerAddress, failureDomain: peer.failureDomain })
    this._backoff.recordSuccess(peer.id)
    this._backoff.recordSuccess(peer.failureDomain)
    const current = membership.members.get(peer.id)
    membership.merge([peer], clock.now())
    membership.reachability.recordContact(peer.failureDomain, clock.now())
    membership.setIsolated(false)
    // A peer that is suspect or dead in the view of this node must receive its record to refute it.
    if (current !== undefined && isNewerRecord(current, peer)) link.send({ nodeRecords: { records: [toWireRecord(current)] } })
    this._onLinkOpened.fire(link)
  }

  private _onLinkClosed (link: PeerLink): void {
    this._linkTable.remove(link)
    if (this._isStopping || link.closeReason === 'closed-here' || link.closeReason === 'closed-by-peer') return
    const { membership, clock } = this._options
    const record = membership.members.get(link.peer.id)
    if (!link.isLocal || record === undefined || isDeadOrLeft(record.state) || this._linkTable.get(record.id) !== undefined) return
    if (link.closeReason === 'silent') this._suspectUnresponsive(record.id, clock.now())
    this._connect(record)
  }

  private _maintainLinks (now: Timestamp): void {
    this._updateIsolation()
    const targets = this._targets.localTargets()
    for (const id of targets) this._dialIfUnlinked(id, now)
    for (const failureDomain of this._targets.foreignDomains()) this._maintainGatewayLink(failureDomain, now)
    this._closeUnneededLinks(targets)
    this._probeDeadMember(now)
  }

  private _updateIsolation (): void {
    const { membership } = this._options
    const hasOtherMembers = membership.members.size > 1
    membership.setIsolated(this.links.length === 0 && hasOtherMembers)
  }

  private _maintainGatewayLink (failureDomain: FailureDomain, now: Timestamp): void {
    const { membership } = this._options
    for (const link of this.links) {
      if (link.peer.failureDomain === failureDomain) membership.reachability.recordContact(failureDomain, link.lastReceivedAt)
    }
    if (this._linkTable.hasDomain(failureDomain) || !this._backoff.isDialAllowed(failureDomain, now)) return
    const gateways = this._targets.gateways(failureDomain)
    if (gateways.length === 0 || gateways.some((id) => this._dialsInProgress.has(id))) return
    const next = gateways.find((id) => this._backoff.isDialAllowed(id, now)) ?? this._targets.randomMember(failureDomain)
    if (next !== undefined) this._dialIfUnlinked(next, now)
  }

  private _dialIfUnlinked (id: NodeId, now: Timestamp): void {
    const record = this._options.membership.members.get(id)
    if (record === undefined || this._linkTable.get(id) !== undefined || !this._backoff.isDialAllowed(id, now)) return
    this._connect(record)
  }

  /** Dials a peer unless a dial to it is already in progress. */
  private _connect (record: INodeRecord): void {
    if (this._isStopping || this._dialsInProgress.has(record.id)) return
    this._dialsInProgress.add(record.id)
    this._dial(record).finally(() => this._dialsInProgress.delete(record.id))
  }

  private async _dial (record: INodeRecord): Promise<void> {
    const { membership, clock } = this._options
    try {
      const peer = await this.contact(record.peerAddress)
      if (peer.id !== record.id && this._isLocal(record)) membership.declareDead(record.id, clock.now())
    } catch (error) {
      const now = clock.now()
      this._backoff.recordFailure(record.id, now)
      if (!this._isLocal(record)) this._backoff.recordFailure(record.failureDomain, now)
      else if (!(error instanceof JoinRefusedError)) this._suspectUnresponsive(record.id, now)
    }
  }

  private _suspectUnresponsive (id: NodeId, now: Timestamp): void {
    const { membership } = this._options
    if (this._isStopping) return
    if (this.links.length === 0 && this._countSuspects() >= this._settings.maximumIsolatedSuspicions) return
    membership.suspect(id, now)
  }

  private _countSuspects (): number {
    let count = 0
    for (const record of this._options.membership.members.values()) {
      if (this._isLocal(record) && (record.state === 'suspect' || record.state === 'dead')) count++
    }
    return count
  }

  /** Closes links that this node dialled and that are not targets, once the links to all targets are open. */
  private _closeUnneededLinks (targets: readonly NodeId[]): void {
    if (targets.length === 0 || targets.some((id) => this._linkTable.get(id) === undefined)) return
    const isGateway = this._options.roles.isHeldBySelf('gateway')
    for (const link of this.links) {
      if (!link.isDialled) continue
      const isNeeded = link.isLocal ? targets.includes(link.peer.id) : isGateway
      if (!isNeeded) link.close('not needed')
    }
  }

  private _probeDeadMember (now: Timestamp): void {
    if (now < this._nextDeadProbeAt) return
    const { membership, random } = this._options
    this._nextDeadProbeAt = addDuration(now, DEAD_PROBE_INTERVAL_MS)
    const dead = membership.deadOrLeftIds.flatMap((id) => membership.members.get(id) ?? [])
      .filter((record) => record.state === 'dead' && this._isLocal(record))
    const record = dead[random.integer(Math.max(1, dead.length))]
    if (record !== undefined) this._connect(record)
  }

  private _isLocal (peer: INodeRecord): boolean {
    return peer.failureDomain === this._options.membership.self.failureDomain
  }
}
