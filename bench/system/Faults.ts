/** Random faults of processes and of the platform, determined by a seed. */
import type { IRandomService } from '../../src/common/Services.js'
import type { Milliseconds } from '../../src/common/Types.js'
import type { Deployment } from '../../testing/demonstration/Deployment.js'
import type { NodeProcess } from '../../testing/demonstration/NodeProcess.js'

const MINIMUM_FAULT_MS = 300
const MAXIMUM_FAULT_MS = 5_000
const SLOW_PLATFORM_MS = 300 as Milliseconds
const LOSS_SHARE = 0.3
/** Number of nodes, from the first, that are protected from process faults, so that the deployment keeps serving. */
export const PROTECTED_NODES = 2

/** Number of faults by kind. */
export type FaultCounts = Record<'kill' | 'freeze' | 'planned stop' | 'herd' | 'platform down' | 'platform slow' | 'answers lost', number>

/** Causes one fault after another. */
export class Faults {
  public readonly counts: FaultCounts = {
    kill: 0, freeze: 0, 'planned stop': 0, herd: 0, 'platform down': 0, 'platform slow': 0, 'answers lost': 0
  }

  /** Planned stops with an exit code other than 0. */
  public failedStops = 0
  /** Longest time until a restarted node was ready, in milliseconds. */
  public maximumRestartMs = 0
  private _pendingRestarts = Promise.resolve()

  constructor (private readonly _deployment: Deployment, private readonly _random: IRandomService) {}

  /** Causes one random fault; resolves when the fault is over. A killed or stopped node may still be starting. */
  public async cause (): Promise<void> {
    const kinds = Object.keys(this.counts) as Array<keyof FaultCounts>
    const kind = kinds[this._random.integer(kinds.length)] ?? 'kill'
    this.counts[kind]++
    switch (kind) {
      case 'kill': return this._kill([this._randomNode()])
      case 'herd': return this._kill(this._deployment.nodes.slice(PROTECTED_NODES))
      case 'freeze': return this._freeze()
      case 'planned stop': return this._stop()
      case 'platform down': return this._disturbPlatform({ isDown: true })
      case 'platform slow': return this._disturbPlatform({ delay: SLOW_PLATFORM_MS })
      case 'answers lost': return this._disturbPlatform({ lostAnswers: LOSS_SHARE, lostRequests: LOSS_SHARE })
    }
  }

  /** Resolves when every restarted node is ready. */
  public waitForRestarts (): Promise<void> {
    return this._pendingRestarts
  }

  private async _kill (nodes: readonly NodeProcess[]): Promise<void> {
    await this._pendingRestarts
    await Promise.all(nodes.map((node) => node.kill()))
    await this._waitForFaultDuration()
    this._restart(nodes)
  }

  private async _freeze (): Promise<void> {
    const node = this._randomNode()
    node.suspend()
    await this._waitForFaultDuration()
    node.resume()
  }

  private async _stop (): Promise<void> {
    await this._pendingRestarts
    const node = this._randomNode()
    const code = await node.stop()
    if (code !== 0) this.failedStops++
    this._restart([node])
  }

  private async _disturbPlatform (faults: Parameters<Deployment['platform']['faults']['set']>[0]): Promise<void> {
    this._deployment.platform.faults.set(faults)
    await this._waitForFaultDuration()
    this._deployment.platform.faults.clear()
  }

  /** Restarts nodes without waiting until they are ready, so that platform faults can occur during their start. */
  private _restart (nodes: readonly NodeProcess[]): void {
    this._pendingRestarts = Promise.all(nodes.map((node) => node.startUntilReady())).then((times) => {
      this.maximumRestartMs = Math.max(this.maximumRestartMs, ...times)
    })
  }

  private _randomNode (): NodeProcess {
    const { nodes } = this._deployment
    return nodes[PROTECTED_NODES + this._random.integer(nodes.length - PROTECTED_NODES)] as NodeProcess
  }

  private _waitForFaultDuration (): Promise<void> {
    const durationMs = MINIMUM_FAULT_MS + this._random.integer(MAXIMUM_FAULT_MS - MINIMUM_FAULT_MS)
    return new Promise((resolve) => setTimeout(resolve, durationMs))
  }
}
