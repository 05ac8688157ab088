/** Forwards reports hop by hop to the collector of the failure domain; each hop batches the reports that it forwards. */
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
import { CollectorRoutes } from './CollectorRoutes.js'
import type { INodeReport } from './Types.js'

/** Callbacks of `ReportRelay`. */
export interface IReportReceiver {
  /** Handles a report that is addressed to this node as the collector. */
  receiveReport (report: INodeReport, peer: NodeId): void
  /** Handles burn counts that are addressed to this node as the collector. */
  receiveBurn (counts: readonly IBurnMinute[], now: Timestamp): void
  /** Handles a new beacon of another collector. */
  receiveBeacon (beacon: ReportBeacon): void
  /** Called when the route to a collector was lost. */
  handleRouteLost (): void
}

/** Dependencies and delays of `ReportRelay`. */
export interface IReportRelayOptions {
  readonly self: NodeId
  readonly overlay: IOverlayService
  readonly clock: IClockService
  readonly receiver: IReportReceiver
  /** Time for which reports are collected into one message. */
  readonly batchDelay: Milliseconds
  /** Time for which counts of good and bad responses are collected into one message. */
  readonly burnBatchDelay: Milliseconds
}

/** Reports and burn counts that wait for the next message to one collector. */
interface IOutgoing {
  readonly reports: Map<string, readonly INodeReport[]>
  burn: readonly IBurnMinute[]
  isReportDue: boolean
  isBurnDue: boolean
}

/** Maximum number of nodes with pending reports to one collector; further reports are dropped, which the next digest reveals. */
const MAXIMUM_PENDING_REPORTS = 8_192

/** Uses only links within the failure domain. */
export class ReportRelay extends Disposable {
  private readonly _options: IReportRelayOptions
  private readonly _routes = new CollectorRoutes()
  private readonly _outgoing = new Map<NodeId, IOutgoing>()

  constructor (options: IReportRelayOptions) {
    super()
    this._options = options
  }

  public start (): void {
    this.register(this._options.overlay.onLinkOpened((link) => this._open(link)))
    for (const link of this._options.overlay.links) this._open(link)
  }

  /** The collector whose beacon was received last; undefined if there was none. */
  public get newestCollector (): NodeId | undefined {
    return this._routes.newestCollector
  }

  /** True if the collector is this node or a route to it is known. */
  public hasRouteTo (collector: NodeId): boolean {
    return collector === this._options.self || this._routes.linkTo(collector) !== undefined
  }

  /** Sends a beacon over all links within the failure domain. */
  public flood (beacon: ReportBeacon, except?: IPeerLink): void {
    for (const link of this._localLinks()) if (link !== except) link.send({ reportBeacon: beacon })
  }

  /** Queues a report for the next message towards the collector. */
  public sendReport (collector: NodeId, report: INodeReport): void {
    const { reports } = this._outgoingTo(collector)
    const { node } = report
    const pending = reports.get(node) ?? []
    if (reports.size < MAXIMUM_PENDING_REPORTS) reports.set(node, [...pending, report])
    this._scheduleReports(collector)
  }

  /** Queues burn counts for the next message towards the collector; each hop adds up the counts of one service and minute. */
  public sendBurn (collector: NodeId, counts: readonly IBurnMinute[], now: Timestamp): void {
    const outgoing = this._outgoingTo(collector)
    outgoing.burn = mergeBurn([...outgoing.burn, ...counts], now)
    if (outgoing.isBurnDue) return
    outgoing.isBurnDue = true
    this._options.clock.after(this._options.burnBatchDelay, () => {
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
    const link = this._routes.linkTo(collector)
    const reports = [...outgoing.reports.values()].flat()
    const burn = withBurn ? outgoing.burn : []
    const isSent = link?.send({ reportBatch: { collector, groups: groupReports(reports), burn: [...burn] } }) ?? false
    // The next digest reveals lost reports to the collector; counts that could not be sent wait for the next message.
    outgoing.reports.clear()
    if (isSent && withBurn) outgoing.burn = []
    if (!isSent) this._options.receiver.handleRouteLost()
  }

  private _open (link: IPeerLink): void {
    if (!link.isLocal) return
    link.onMessage((message) => this._handle(message, link))
    link.onClosed(() => { if (this._routes.removeLink(link) && !this.isDisposed) this._options.receiver.handleRouteLost() })
    for (const beacon of this._routes.beacons) link.send({ reportBeacon: beacon })
  }

  private _handle (message: ReceivedPeerMessage, link: IPeerLink): void {
    if (this.isDisposed) return
    if (message.reportBeacon) this._receiveBeacon(message.reportBeacon, link)
    else if (message.reportBatch) this._receiveBatch(message.reportBatch, link)
  }

  private _receiveBeacon (beacon: ReceivedReportBeacon, link: IPeerLink): void {
    const { self, clock, receiver } = this._options
    if (beacon.collector === self || !this._routes.receive(beacon, link, clock.now())) return
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
    // Forwarding a batch over the link from which it came would create a loop.
    if (this._routes.linkTo(collector) === link) return
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
