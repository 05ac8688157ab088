/** Disturbs processes, links, endpoints, the store and the configuration; in series, and several at once. */
import type { IRandomService } from '../../src/common/Services.js'
import type { StoreMode } from '../../testing/mesh/StoreStandIn.js'
import { switchEndpoint } from './EndpointScripts.js'
import type { LoopbackProxy } from './LoopbackProxy.js'
import { sleep, type SoakDeployment } from './SoakDeployment.js'
import { LINK_NAMES, type SoakNode } from './SoakNode.js'
import { ENDPOINT_FAULTS, EVERYTHING, type DisruptionKind, type LinkMode, type Subject } from './Types.js'

/** Faults at the same time. */
const PARALLEL_FAULTS = 3
const LONGEST_PAUSE_MS = 1_500
const SHORTEST_FAULT_MS = 200
const LONGEST_FAULT_MS = 4_000
/** Longest time between two of a series. */
const LONGEST_GAP_MS = 400
const LONGEST_SERIES = 4
const STORE_MODES: readonly StoreMode[] = ['busy', 'many', 'reset', 'silent', 'lost', 'late', 'slow-link', 'stuck-link']
const LINK_MODES: readonly LinkMode[] = ['delayed', 'silent', 'deaf-forwards', 'deaf-backwards', 'refusing']
/** A connection that lost bytes is reset after this time. */
const LONGEST_SILENCE_MS = 5_000
const CHECK_INTERVAL_MS = 50
const ACKNOWLEDGED = 200
const SLOW_STORE_MS = 350
/** Share of the endpoints whose successor has the same id. */
const SAME_ID_SHARE = 0.5
/** Share of the nodes that a herd takes along. */
const HERD_SHARE = 0.5

/** Starts faults until it is stopped, and mends all of them. */
export class SoakFaults {
  /** Faults by name. */
  public readonly counts = new Map<string, number>()
  private readonly _kinds: ReadonlyArray<readonly [string, () => Promise<void>]>
  private _isStopped = false
  private _loops: Array<Promise<void>> = []

  constructor (private readonly _deployment: SoakDeployment, private readonly _random: IRandomService) {
    this._kinds = [
      ['planned stop', () => this._inSeries((node) => this._stop(node))],
      ['kill', () => this._inSeries((node) => this._kill([node]))],
      ['herd', () => this._kill(this._deployment.nodes.filter(() => this._random.fraction() < HERD_SHARE))],
      ['pause', () => this._inSeries((node) => this._pause(node))],
      ['reload', () => this._inSeries((node) => this._reload(node))],
      ['link', () => this._inSeries((node) => this._disturbLink(node))],
      ['reset', () => this._inSeries((node) => this._resetLink(node))],
      ['endpoint', () => this._inSeries((node) => this._disturbEndpoint(node))],
      ['drain', () => this._drain(this._anyNode())],
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
      await sleep(this._random.integer(LONGEST_PAUSE_MS))
      const [name, cause] = this._kinds[this._random.integer(this._kinds.length)] ?? ['', async () => undefined]
      this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
      await cause()
    }
  }

  /** The same fault at several nodes, one soon after the other, so that they overlap. */
  private async _inSeries (cause: (node: SoakNode) => Promise<void>): Promise<void> {
    const length = 1 + this._random.integer(LONGEST_SERIES)
    const under: Array<Promise<void>> = []
    for (let count = 0; count < length; count++) {
      under.push(cause(this._anyNode()))
      await sleep(this._random.integer(LONGEST_GAP_MS))
    }
    await Promise.all(under)
  }

  private async _stop (node: SoakNode): Promise<void> {
    await this._alone(node, () => this._during('stopping', node.place.name, async () => {
      await node.stop()
      await this._wait()
      node.start()
    }))
  }

  private async _kill (nodes: readonly SoakNode[]): Promise<void> {
    await Promise.all(nodes.map((node) => this._alone(node, () => this._during('killed', node.place.name, async () => {
      await node.kill()
      await this._wait()
      node.start()
    }))))
  }

  private async _pause (node: SoakNode): Promise<void> {
    await this._alone(node, () => this._during('paused', node.place.name, async () => {
      node.freeze()
      await this._wait()
      node.resume()
    }))
  }

  private async _reload (node: SoakNode): Promise<void> {
    await this._alone(node, async () => { node.reload() })
  }

  private async _disturbLink (node: SoakNode): Promise<void> {
    const name = this._any(LINK_NAMES)
    const mode = this._any(LINK_MODES)
    await this._during(name === 'store' ? 'store' : 'link', node.place.name, async () => {
      node.links[name].switchTo(mode)
      await this._wait()
      node.links[name].switchTo('well')
      await this._untilMended(node.links[name])
    })
  }

  /** What lost bytes stays silent; it counts as disturbed until its users give it up, or it is reset. */
  private async _untilMended (link: LoopbackProxy): Promise<void> {
    const deadline = this._deployment.now() + LONGEST_SILENCE_MS
    while (link.lostConnections > 0 && this._deployment.now() < deadline) await sleep(CHECK_INTERVAL_MS)
    if (link.lostConnections > 0) link.reset()
  }

  private async _resetLink (node: SoakNode): Promise<void> {
    const name = this._any(LINK_NAMES)
    await this._during(name === 'store' ? 'store' : 'link', node.place.name, async () => { node.links[name].reset() })
  }

  private async _disturbEndpoint (node: SoakNode): Promise<void> {
    await this._during('endpoint', node.place.name, async () => {
      const mend = switchEndpoint(node.endpoint, this._any(ENDPOINT_FAULTS))
      await this._wait()
      mend()
    })
  }

  /** The promise holds from the acknowledgement on, unless the process that gave it has gone. A drained endpoint is replaced. */
  private async _drain (node: SoakNode): Promise<void> {
    await this._alone(node, async () => {
      const { incarnation } = node
      const isAcknowledged = await node.reports.drain() === ACKNOWLEDGED
      const from = this._deployment.now()
      await this._wait()
      const drain = { node: node.place.name, from, until: this._deployment.now() }
      if (isAcknowledged && incarnation === node.incarnation) this._deployment.drains.push(drain)
      node.reports.replaceEndpoint(this._random.fraction() < SAME_ID_SHARE)
    })
  }

  private async _disturbStore (): Promise<void> {
    const { store } = this._deployment
    await this._during('store', EVERYTHING, async () => {
      if (this._random.fraction() < 0.3) store.delay = SLOW_STORE_MS
      else store.mode = this._any(STORE_MODES)
      await this._wait()
      Object.assign(store, { mode: 'well', delay: 0 })
      store.performLate()
    })
  }

  private async _loseHistory (): Promise<void> {
    this._deployment.store.historyFrom = this._deployment.store.version
    await this._configure()
  }

  private async _configure (): Promise<void> {
    const versions = 1 + this._random.integer(LONGEST_SERIES)
    for (let count = 0; count < versions; count++) {
      this._deployment.configure()
      await sleep(this._random.integer(LONGEST_GAP_MS))
    }
  }

  /** Skips the fault if another one works on the process. */
  private async _alone (node: SoakNode, cause: () => Promise<void>): Promise<void> {
    if (node.isBusy) return
    node.isBusy = true
    await cause()
    node.isBusy = false
  }

  private async _during (kind: DisruptionKind, subject: Subject, cause: () => Promise<void>): Promise<void> {
    const end = this._deployment.disruptions.begin(kind, subject, this._deployment.now())
    await cause()
    end(this._deployment.now())
  }

  private _wait (): Promise<void> {
    return sleep(SHORTEST_FAULT_MS + this._random.integer(LONGEST_FAULT_MS - SHORTEST_FAULT_MS))
  }

  private _anyNode (): SoakNode {
    return this._any(this._deployment.nodes)
  }

  private _any<TItem> (items: readonly TItem[]): TItem {
    const item = items[this._random.integer(items.length)]
    if (item === undefined) throw new Error('nothing to choose from')
    return item
  }
}
