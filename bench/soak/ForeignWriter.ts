/** Another writer, which sends heartbeats to the control ports of nodes and writes rows of the node table. */
import type { IRandomService } from '../../src/common/Services.js'
import type { NodeName } from '../../src/mesh/Types.js'
import { decodeNodeRow } from '../../src/mesh/view/NodeRowCodec.js'
import { drawForeignHeartbeat, drawForeignRow, UNUSED_ADDRESS } from './ForeignMessages.js'
import { sendHeartbeat } from './HeartbeatRequest.js'
import { SERVICES, sleep, type SoakDeployment } from './SoakDeployment.js'
import type { SoakNode } from './SoakNode.js'

const NODE_TABLE = 'nodes'
const MAXIMUM_PAUSE_MS = 800
const MAXIMUM_SERIES_LENGTH = 6
/** Maximum time between two messages of a series. */
const MAXIMUM_GAP_MS = 120
/** Share of the messages of a series that are rows. */
const ROW_SHARE = 0.2
/** Share of the rows of a series that are written under the name of a node. */
const OWN_ROW_SHARE = 0.5
/** Share of the starts of a process that find a foreign row under the name of the node. */
const ROW_AT_START_SHARE = 0.3
/** Share of the starts of a process with foreign heartbeats before the first one of the endpoint. */
const HEARTBEATS_AT_START_SHARE = 0.7
/** Time between two heartbeats to a process that starts; much shorter than the interval of the endpoint's own. */
const START_GAP_MS = 15
/** Number of answered heartbeats after which a start is no longer disturbed, and the maximum time until then. */
const ANSWERED_AT_START = 4
const START_LIMIT_MS = 2_500
const FOREIGN_NODE = 'foreign'
const NO_ANSWER = 0

/**
 * Runs in parallel with the other faults. It has a random generator of its own, so that it does not change their sequence for a seed. Its
 * messages excuse no breach.
 */
export class ForeignWriter {
  /** Number of heartbeats that a node answered. */
  public heartbeats = 0
  /** Number of rows written. */
  public rows = 0
  private _isStopped = false
  private readonly _tasks = new Set<Promise<void>>()

  constructor (private readonly _deployment: SoakDeployment, private readonly _random: IRandomService) {
    _deployment.onProcessStarted = (node) => this._track(this._disturbStart(node))
  }

  public start (): void {
    this._track(this._run())
  }

  /** Removes the rows under other names; resolves once all messages have been answered. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await Promise.all(this._tasks)
    this._deployment.store.remove(NODE_TABLE, FOREIGN_NODE)
  }

  private _track (task: Promise<void>): void {
    this._tasks.add(task)
    task.finally(() => this._tasks.delete(task)).catch(() => undefined)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      await sleep(this._random.integer(MAXIMUM_PAUSE_MS))
      const node = this._deployment.nodes[this._random.integer(this._deployment.nodes.length)]
      if (node !== undefined) await this._sendSeries(node)
    }
  }

  private async _sendSeries (node: SoakNode): Promise<void> {
    const length = 1 + this._random.integer(MAXIMUM_SERIES_LENGTH)
    for (let count = 0; count < length; count++) {
      if (this._random.fraction() < ROW_SHARE) this._writeRow(node)
      else await this._sendHeartbeat(node)
      await sleep(this._random.integer(MAXIMUM_GAP_MS))
    }
  }

  /** The process reads the row when it starts. It opens its control port later, so that the first heartbeats are refused connections. */
  private async _disturbStart (node: SoakNode): Promise<void> {
    if (this._isStopped) return
    if (this._random.fraction() < ROW_AT_START_SHARE) this._writeOwnRow(node)
    if (this._random.fraction() >= HEARTBEATS_AT_START_SHARE) return
    const deadline = this._deployment.now() + START_LIMIT_MS
    let answered = 0
    while (!this._isStopped && answered < ANSWERED_AT_START && this._deployment.now() < deadline) {
      if (await this._sendHeartbeat(node) !== NO_ANSWER) answered++
      await sleep(START_GAP_MS)
    }
  }

  private async _sendHeartbeat (node: SoakNode): Promise<number> {
    const { endpoint, reports, controlPort } = node
    const otherAddresses = this._deployment.nodes.filter((other) => other !== node).map((other) => other.reports.address)
    const options = { id: endpoint.id, heartbeat: reports.lastHeartbeat, services: SERVICES, otherAddresses }
    const report = drawForeignHeartbeat(options, this._random)
    const sentAt = this._deployment.now()
    const status = await sendHeartbeat({ controlPort, ...report })
    if (status === NO_ANSWER) return status
    this.heartbeats++
    const { fault, id, body } = report
    this._deployment.foreignReports.push({ node: node.identity.name, sentAt, status, fault, id, body: body.toString('latin1') })
    return status
  }

  private _writeRow (node: SoakNode): void {
    if (this._random.fraction() < OWN_ROW_SHARE) this._writeOwnRow(node)
    else this._put(FOREIGN_NODE, rowText(node, { name: FOREIGN_NODE, gateAddress: UNUSED_ADDRESS, peerAddress: UNUSED_ADDRESS }))
  }

  private _writeOwnRow (node: SoakNode): void {
    const { name } = node.identity
    const { gateAddress, peerAddress } = node
    const stored = this._deployment.store.get(NODE_TABLE, name)
    this._put(name, stored !== undefined && isRowOf(stored, name) ? stored : rowText(node, { name, gateAddress, peerAddress }))
  }

  private _put (key: string, row: string): void {
    this._deployment.store.put(NODE_TABLE, key, drawForeignRow(row, this._random))
    this.rows++
  }
}

/** Name and addresses in a row. */
interface IRowIdentity {
  readonly name: string
  readonly gateAddress: string
  readonly peerAddress: string
}

/** Row without an endpoint, of a node in the same failure domain. */
function rowText ({ identity }: SoakNode, { name, gateAddress, peerAddress }: IRowIdentity): string {
  const { failureDomain, region } = identity
  return JSON.stringify({ node: name, failureDomain, region, gateAddress, peerAddress, isLeaving: false })
}

function isRowOf (text: string, name: string): boolean {
  try {
    decodeNodeRow(text, name as NodeName)
    return true
  } catch {
    return false
  }
}
