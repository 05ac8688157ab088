/** Carries reports hop by hop to the collector of the failure domain, gathered at each hop. */
import { Disposable } from '../../common/Disposable.js'
import type { IClockService } from '../../common/Services.js'
import type { Milliseconds, NodeId, ServiceName, Timestamp } from '../../common/Types.js'
import type { ReceivedBurnCount } from '../../generated/savoryknot/BurnCount.js'
import type { ReceivedPeerMessage } from '../../generated/savoryknot/PeerMessage.js'
import type { ReceivedReportBatch } from '../../generated/savoryknot/ReportBatch.js'
import type { ReceivedReportBeacon, ReportBeacon } from '../../generated/savoryknot/ReportBeacon.js'
import type { IOverlayService, IPeerLink } from '../../membership/Services.js'
import type { IBurnMinute } from '../Services.js'
import { mergeBurn } from './BurnBuckets.js'
import { groupReports, ungroupReports } from './ReportGroups.js'
import { ReportRoute } from './ReportRoute.js'
import type { IInForceReport } from './Types.js'

/** What happens at the ends of the way. */
export interface IReportReceiver {
  /** A report for this node as the collector. */
  receiveReport (report: IInForceReport, peer: NodeId): void
  /** Burn counts for this node as the collector. */
  receiveBurn (counts: readonly IBurnMinute[], now: Timestamp): void
  /** A new beacon, also of this node's own. */
  receiveBeacon (beacon: ReportBeacon): void
  /** The way to a collector was lost. */
  routeLost (): void
}

/** What the carrier needs. */
export interface IReportCarrierOptions {
  readonly self: NodeId
  readonly overlay: IOverlayService
  readonly clock: IClockService
  readonly receiver: IReportReceiver
  /** Time over which reports are gathered into one message. */
  readonly batchDelay: Milliseconds
  /** Time over which burn counts are gathered. */
  readonly burnDelay: Milliseconds
}

/** Reports and counts that wait for the next message. */
interface IOutgoing {
  readonly reports: Map<string, readonly IInForceReport[]>
  burn: readonly IBurnMinute[]
  isReportDue: boolean
  isBurnDue: boolean
}

/** Reports that may wait for one collector; more are dropped and repaired by the next digest. */
const MAXIMUM_WAITING_REPORTS = 8_192

/** Uses only links inside the failure domain. */
export class ReportCarrier extends Disposable {
  private readonly _options: IReportCarrierOptions
  private readonly _route = new ReportRoute()
  private readonly _outgoing = new Map<NodeId, IOutgoing>()

  constructor (options: IReportCarrierOptions) {
    super()
    this._options = options
  }

  public start (): void {
    this.register(this._options.overlay.onLinkOpened((link) => this._open(link)))
    for (const link of this._options.overlay.links) this._open(link)
  }

  /** The collector that was heard last; undefined if none was. */
  public get newestCollector (): NodeId | undefined {
    return this._route.newestCollector
  }

  /** Whether there is a way to a collector. */
  public knows (collector: NodeId): boolean {
    return collector === this._options.self || this._route.linkTo(collector) !== undefined
  }

  /** Tells the failure domain that this node collects. */
  public flood (beacon: ReportBeacon, except?: IPeerLink): void {
    for (const link of this._localLinks()) if (link !== except) link.send({ reportBeacon: beacon })
  }

  /** Sends a report on its way. */
  public sendReport (collector: NodeId, report: IInForceReport): void {
    const { reports } = this._outgoingTo(collector)
    const { node } = report
    const waiting = reports.get(node) ?? []
    if (reports.size < MAXIMUM_WAITING_REPORTS) reports.set(node, [...waiting, report])
    this._scheduleReports(collector)
  }

  /** Sends burn counts on their way; counts of one service and minute are added up at each hop. */
  public sendBurn (collector: NodeId, counts: readonly IBurnMinute[], now: Timestamp): void {
    const outgoing = this._outgoingTo(collector)
    outgoing.burn = mergeBurn([...outgoing.burn, ...counts], now)
    if (outgoing.isBurnDue) return
    outgoing.isBurnDue = true
    this._options.clock.after(this._options.burnDelay, () => {
      outgoing.isBurnDue = false
      this._flush(collector, outgoing, true)
    })
  }

  private _scheduleReports (collector: NodeId): void {
    const outgoing = this._outgoingTo(collector)
    if (outgoing.isReportDue) return
    outgoing.isReportDue = true
    this._options.clock.after(this._options.batchDelay, () => {
      outgoing.isReportDue = false
      this._flush(collector, outgoing, false)
    })
  }

  private _flush (collector: NodeId, outgoing: IOutgoing, withBurn: boolean): void {
    if (this.isDisposed) return
    const link = this._route.linkTo(collector)
    const reports = [...outgoing.reports.values()].flat()
    const burn = withBurn ? outgoing.burn : []
    const isSent = link?.send({ reportBatch: { collector, groups: groupReports(reports), burn: [...burn] } }) ?? false
    // Lost reports are found by the digest; counts that could not be sent wait for the next time.
    outgoing.reports.clear()
    if (isSent && withBurn) outgoing.burn = []
    if (!isSent) this._options.receiver.routeLost()
  }

  private _open (link: IPeerLink): void {
    if (!link.isLocal) return
    link.onMessage((message) => this._handle(message, link))
    link.onClosed(() => { if (this._route.removeLink(link) && !this.isDisposed) this._options.receiver.routeLost() })
    for (const beacon of this._route.beacons) link.send({ reportBeacon: beacon })
  }

  private _handle (message: ReceivedPeerMessage, link: IPeerLink): void {
    if (this.isDisposed) return
    if (message.reportBeacon) this._receiveBeacon(message.reportBeacon, link)
    else if (message.reportBatch) this._receiveBatch(message.reportBatch, link)
  }

  private _receiveBeacon (beacon: ReceivedReportBeacon, link: IPeerLink): void {
    const { self, clock, receiver } = this._options
    if (beacon.collector === self || !this._route.receive(beacon, link, clock.now())) return
    this.flood(beacon, link)
    receiver.receiveBeacon(beacon)
  }

  private _receiveBatch (batch: ReceivedReportBatch, link: IPeerLink): void {
    const { self, receiver, clock } = this._options
    const collector = batch.collector as NodeId
    const now = clock.now()
    const burn = batch.burn.map(decodeBurn)
    if (collector === self) {
      for (const report of ungroupReports(batch.groups)) receiver.receiveReport(report, link.peer.id)
      if (burn.length > 0) receiver.receiveBurn(burn, now)
      return
    }
    // A batch that comes back from the way it has to go would circle.
    if (this._route.linkTo(collector) === link) return
    for (const report of ungroupReports(batch.groups)) this.sendReport(collector, report)
    if (burn.length > 0) this.sendBurn(collector, burn, now)
  }

  private _outgoingTo (collector: NodeId): IOutgoing {
    let outgoing = this._outgoing.get(collector)
    if (outgoing === undefined) {
      outgoing = { reports: new Map(), burn: [], isReportDue: false, isBurnDue: false }
      this._outgoing.set(collector, outgoing)
    }
    return outgoing
  }

  private _localLinks (): readonly IPeerLink[] {
    return this._options.overlay.links.filter((link) => link.isLocal)
  }
}

function decodeBurn (count: ReceivedBurnCount): IBurnMinute {
  return { service: count.service as ServiceName, minute: count.minute as Timestamp, good: count.good, bad: count.bad }
}
