/** Changes the service and the address of a VM's endpoint in the settings file of its node, without a signal. */
import type { IRandomService } from '../../src/common/Services.js'
import { HEARTBEAT_MS } from './EndpointReports.js'
import { SERVICES, sleep, type SoakDeployment } from './SoakDeployment.js'
import type { SoakNode } from './SoakNode.js'
import type { Moment } from './Types.js'

const MINIMUM_PAUSE_MS = 2_000
const MAXIMUM_PAUSE_MS = 6_000
/** Nodes that every service keeps. */
const MINIMUM_NODES_OF_SERVICE = 2
/** Share of the endpoints that report that they drain before they are replaced, and the time until then. */
const DRAIN_SHARE = 0.5
const DRAIN_MS = 1_200
/** Time after which an endpoint that is not acknowledged, or gets no requests, is no longer observed. */
const OBSERVATION_LIMIT_MS = 10_000
/** Longer than the effects of an earlier fault. */
const CALM_MS = 2_600
const CHECK_INTERVAL_MS = 20
const ACKNOWLEDGED = 200

/** Runs in parallel with the other faults. It has a random generator of its own, so that it does not change their sequence for a seed. */
export class SettingsChanges {
  /** Number of changes so far. */
  public count = 0
  private _isStopped = false
  private _loop: Promise<void> = Promise.resolve()

  constructor (private readonly _deployment: SoakDeployment, private readonly _random: IRandomService) {}

  public start (): void {
    this._loop = this._run()
  }

  /** Resolves once the endpoint of the last change was observed. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await this._loop
  }

  /** Changes one node while no other fault is active nor has effects, so that nothing excuses a late effect of the change. */
  public async changeWithoutOtherFaults (): Promise<void> {
    await sleep(CALM_MS)
    const changeable = this._deployment.nodes.filter((node) => this._canChange(node))
    const node = changeable[this._random.integer(changeable.length)]
    if (node !== undefined) await this._change(node, false)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      await sleep(MINIMUM_PAUSE_MS + this._random.integer(MAXIMUM_PAUSE_MS - MINIMUM_PAUSE_MS))
      const node = this._deployment.nodes[this._random.integer(this._deployment.nodes.length)]
      const isDrained = this._random.fraction() < DRAIN_SHARE
      if (node !== undefined && !this._isStopped && this._canChange(node)) await this._change(node, isDrained)
    }
  }

  private _canChange (node: SoakNode): boolean {
    const { service } = node.reports
    return this._deployment.nodes.filter(({ reports }) => reports.service === service).length > MINIMUM_NODES_OF_SERVICE
  }

  private async _change (node: SoakNode, isDrained: boolean): Promise<void> {
    const { name } = node.identity
    const { disruptions, settingsChanges } = this._deployment
    this.count++
    const endDisruption = disruptions.startDisruption('replaced', name, this._deployment.now())
    if (isDrained) {
      await node.reports.drain()
      await sleep(DRAIN_MS)
    }
    const endPreviousService = this._deployment.startService(node, nextService(node.reports.service))
    await node.changeService(nextService(node.reports.service))
    const changedAt = this._deployment.now()
    const acknowledgedAt = await this._waitUntilAcknowledged(node)
    if (acknowledgedAt !== undefined) endPreviousService(acknowledgedAt)
    node.reports.start()
    endDisruption(this._deployment.now())
    const usedAt = acknowledgedAt === undefined ? undefined : await this._waitUntilUsed(node, acknowledgedAt)
    settingsChanges.push({ node: name, service: node.reports.service, changedAt, acknowledgedAt, usedAt })
  }

  private async _waitUntilAcknowledged (node: SoakNode): Promise<Moment | undefined> {
    const deadline = this._deployment.now() + OBSERVATION_LIMIT_MS
    while (this._deployment.now() < deadline) {
      if (await node.reports.send() === ACKNOWLEDGED) return this._deployment.now()
      await sleep(HEARTBEAT_MS)
    }
    return undefined
  }

  /** Resolves with the start of the first run at the endpoint. */
  private async _waitUntilUsed (node: SoakNode, since: Moment): Promise<Moment | undefined> {
    const { name } = node.identity
    const deadline = since + OBSERVATION_LIMIT_MS
    while (this._deployment.now() < deadline) {
      const latest = this._deployment.lastRunAt.get(name)
      if (latest !== undefined && latest >= since) return latest
      await sleep(CHECK_INTERVAL_MS)
    }
    return undefined
  }
}

function nextService (service: string): string {
  return SERVICES[(SERVICES.indexOf(service) + 1) % SERVICES.length] ?? service
}
