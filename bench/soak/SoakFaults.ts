/** Injects faults into processes, links, endpoints, the store and the configuration, in series and several in parallel. */
import type { IRandomService } from '../../src/common/Services.js'
import type { StoreMode } from '../../testing/mesh/StoreStandIn.js'
import { applyEndpointMode } from './EndpointScripts.js'
import type { LoopbackProxy } from './LoopbackProxy.js'
import { sleep, type SoakDeployment } from './SoakDeployment.js'
import { LINK_NAMES, type SoakNode } from './SoakNode.js'
import { ENDPOINT_FAULTS, EVERYTHING, type DisruptionKind, type LinkMode, type Subject } from './Types.js'

/** Number of faults that are injected in parallel. */
const PARALLEL_FAULTS = 3
const MAXIMUM_PAUSE_MS = 1_500
const MINIMUM_FAULT_MS = 200
const MAXIMUM_FAULT_MS = 4_000
/** Maximum time between two faults of a series. */
const MAXIMUM_GAP_MS = 400
const MAXIMUM_SERIES_LENGTH = 4
const STORE_MODES: readonly StoreMode[] = ['busy', 'many', 'reset', 'silent', 'lost', 'late', 'slow-link', 'stuck-link']
const LINK_MODES: readonly LinkMode[] = ['delayed', 'silent', 'deaf-forwards', 'deaf-backwards', 'refusing']
/** Time after which a connection that lost bytes is reset. */
const LOST_CONNECTION_TIMEOUT_MS = 5_000
const CHECK_INTERVAL_MS = 50
const ACKNOWLEDGED = 200
const SLOW_STORE_MS = 350
/** Share of the drained endpoints whose replacement keeps the id. */
const SAME_ID_SHARE = 0.5
/** Share of the nodes that are killed at the same time. */
const SIMULTANEOUS_KILL_SHARE = 0.5

/** Injects random faults until it is stopped; each fault is reverted. */
export class SoakFaults {
  /** Number of injected faults by name. */
  public readonly counts = new Map<string, number>()
  private readonly _kinds: ReadonlyArray<readonly [string, () => Promise<void>]>
  private _isStopped = false
  private _loops: Array<Promise<void>> = []

  constructor (private readonly _deployment: SoakDeployment, private readonly _random: IRandomService) {
    this._kinds = [
      ['planned stop', () => this._inSeries((node) => this._stop(node))],
      ['kill', () => this._inSeries((node) => this._kill([node]))],
      ['herd', () => this._kill(this._deployment.nodes.filter(() => this._random.fraction() < SIMULTANEOUS_KILL_SHARE))],
      ['pause', () => this._inSeries((node) => this._pause(node))],
      ['reload', () => this._inSeries((node) => this._reload(node))],
      ['link', () => this._inSeries((node) => this._disturbLink(node))],
      ['reset', () => this._inSeries((node) => this._resetLink(node))],
      ['endpoint', () => this._inSeries((node) => this._disturbEndpoint(node))],
      ['drain', () => this._drain(this._randomNode())],
      ['store', () => this._disturbStore()],
      ['history lost', () => this._loseHistory()],
      ['configurations', () => this._configure()]
    ]
  }

  public start (): void {
    this._loops = Array.from({ length: PARALLEL_FAULTS }, () => this._run())
  }

  /** Resolves once every fault has ended and every process runs. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await Promise.all(this._loops)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      await sleep(this._random.integer(MAXIMUM_PAUSE_MS))
      const [name, injectFault] = this._kinds[this._random.integer(this._kinds.length)] ?? ['', async () => undefined]
      this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
      await injectFault()
    }
  }

  /** Injects the same fault at several nodes with short gaps, so that the faults overlap. */
  private async _inSeries (injectFault: (node: SoakNode) => Promise<void>): Promise<void> {
    const length = 1 + this._random.integer(MAXIMUM_SERIES_LENGTH)
    const activeFaults: Array<Promise<void>> = []
    for (let count = 0; count < length; count++) {
      activeFaults.push(injectFault(this._randomNode()))
      await sleep(this._random.integer(MAXIMUM_GAP_MS))
    }
    await Promise.all(activeFaults)
  }

  private async _stop (node: SoakNode): Promise<void> {
    await this._injectExclusively(node, () => this._recordDisruption('stopping', node.identity.name, async () => {
      await node.stop()
      await this._waitFaultDuration()
      node.start()
    }))
  }

  private async _kill (nodes: readonly SoakNode[]): Promise<void> {
    await Promise.all(nodes.map((node) => this._injectExclusively(node, () => this._recordDisruption('killed', node.identity.name, async () => {
      await node.kill()
      await this._waitFaultDuration()
      node.start()
    }))))
  }

  private async _pause (node: SoakNode): Promise<void> {
    await this._injectExclusively(node, () => this._recordDisruption('paused', node.identity.name, async () => {
      node.freeze()
      await this._waitFaultDuration()
      node.resume()
    }))
  }

  private async _reload (node: SoakNode): Promise<void> {
    await this._injectExclusively(node, async () => { node.reload() })
  }

  private async _disturbLink (node: SoakNode): Promise<void> {
    const name = this._randomItem(LINK_NAMES)
    const mode = this._randomItem(LINK_MODES)
    await this._recordDisruption(name === 'store' ? 'store' : 'link', node.identity.name, async () => {
      node.links[name].switchTo(mode)
      await this._waitFaultDuration()
      node.links[name].switchTo('well')
      await this._waitUntilRecovered(node.links[name])
    })
  }

  /** A connection that lost bytes stays unresponsive: the link counts as disturbed until the connection is closed or reset. */
  private async _waitUntilRecovered (link: LoopbackProxy): Promise<void> {
    const deadline = this._deployment.now() + LOST_CONNECTION_TIMEOUT_MS
    while (link.lostConnections > 0 && this._deployment.now() < deadline) await sleep(CHECK_INTERVAL_MS)
    if (link.lostConnections > 0) link.reset()
  }

  private async _resetLink (node: SoakNode): Promise<void> {
    const name = this._randomItem(LINK_NAMES)
    await this._recordDisruption(name === 'store' ? 'store' : 'link', node.identity.name, async () => { node.links[name].reset() })
  }

  private async _disturbEndpoint (node: SoakNode): Promise<void> {
    await this._recordDisruption('endpoint', node.identity.name, async () => {
      const restore = applyEndpointMode(node.endpoint, this._randomItem(ENDPOINT_FAULTS))
      await this._waitFaultDuration()
      restore()
    })
  }

  /** The guarantee applies from the acknowledgement, unless the process that acknowledged has exited. A drained endpoint is replaced. */
  private async _drain (node: SoakNode): Promise<void> {
    await this._injectExclusively(node, async () => {
      const { incarnation, endpoint: { born } } = node
      const isAcknowledged = await node.reports.drain() === ACKNOWLEDGED
      const from = this._deployment.now()
      await this._waitFaultDuration()
      const drain = { node: node.identity.name, from, until: this._deployment.now() }
      const keepsId = this._random.fraction() < SAME_ID_SHARE
      // A change of the settings has replaced the drained endpoint in the meantime.
      if (born !== node.endpoint.born) return
      if (isAcknowledged && incarnation === node.incarnation) this._deployment.drains.push(drain)
      node.reports.replaceEndpoint(keepsId)
    })
  }

  private async _disturbStore (): Promise<void> {
    const { store } = this._deployment
    await this._recordDisruption('store', EVERYTHING, async () => {
      if (this._random.fraction() < 0.3) store.delay = SLOW_STORE_MS
      else store.mode = this._randomItem(STORE_MODES)
      await this._waitFaultDuration()
      Object.assign(store, { mode: 'well', delay: 0 })
      store.performDelayedWrites()
    })
  }

  private async _loseHistory (): Promise<void> {
    this._deployment.store.historyFrom = this._deployment.store.version
    await this._configure()
  }

  private async _configure (): Promise<void> {
    const versions = 1 + this._random.integer(MAXIMUM_SERIES_LENGTH)
    for (let count = 0; count < versions; count++) {
      this._deployment.configure()
      await sleep(this._random.integer(MAXIMUM_GAP_MS))
    }
  }

  /** Skips the fault if another fault is applied to the process. */
  private async _injectExclusively (node: SoakNode, injectFault: () => Promise<void>): Promise<void> {
    if (node.hasProcessFault) return
    node.hasProcessFault = true
    await injectFault()
    node.hasProcessFault = false
  }

  private async _recordDisruption (kind: DisruptionKind, subject: Subject, injectFault: () => Promise<void>): Promise<void> {
    const endDisruption = this._deployment.disruptions.startDisruption(kind, subject, this._deployment.now())
    await injectFault()
    endDisruption(this._deployment.now())
  }

  private _waitFaultDuration (): Promise<void> {
    return sleep(MINIMUM_FAULT_MS + this._random.integer(MAXIMUM_FAULT_MS - MINIMUM_FAULT_MS))
  }

  private _randomNode (): SoakNode {
    return this._randomItem(this._deployment.nodes)
  }

  private _randomItem<TItem> (items: readonly TItem[]): TItem {
    const item = items[this._random.integer(items.length)]
    if (item === undefined) throw new Error('cannot choose from an empty list')
    return item
  }
}
