/** Faults of processes and of the platform, chosen by a seed. */
import type { IRandomService } from '../../src/common/Services.js'
import type { Milliseconds } from '../../src/common/Types.js'
import type { Deployment } from '../../testing/demonstration/Deployment.js'
import type { NodeProcess } from '../../testing/demonstration/NodeProcess.js'

const SHORTEST_FAULT_MS = 300
const LONGEST_FAULT_MS = 5_000
const SLOW_PLATFORM_MS = 300 as Milliseconds
const LOST_SHARE = 0.3
/** Nodes at the front that no fault of a process touches, so that the deployment goes on serving. */
export const SPARED_NODES = 2

/** Number of faults by kind. */
export type FaultCounts = Record<'kill' | 'freeze' | 'planned stop' | 'herd' | 'platform down' | 'platform slow' | 'answers lost', number>

/** Causes one fault after the other. */
export class Faults {
  public readonly counts: FaultCounts = {
    kill: 0, freeze: 0, 'planned stop': 0, herd: 0, 'platform down': 0, 'platform slow': 0, 'answers lost': 0
  }

  /** Planned stops that did not end with exit code 0. */
  public failedStops = 0
  /** Longest time of a restarted node until it was ready, in milliseconds. */
  public longestReturn = 0
  private _unreadyUntil = Promise.resolve()

  constructor (private readonly _deployment: Deployment, private readonly _random: IRandomService) {}

  /** One random fault, ended before the promise resolves. */
  public async cause (): Promise<void> {
    const kinds = Object.keys(this.counts) as Array<keyof FaultCounts>
    const kind = kinds[this._random.integer(kinds.length)] ?? 'kill'
    this.counts[kind]++
    switch (kind) {
      case 'kill': return this._kill([this._anyNode()])
      case 'herd': return this._kill(this._deployment.nodes.slice(SPARED_NODES))
      case 'freeze': return this._freeze()
      case 'planned stop': return this._stop()
      case 'platform down': return this._platform({ isDown: true })
      case 'platform slow': return this._platform({ delay: SLOW_PLATFORM_MS })
      case 'answers lost': return this._platform({ lostAnswers: LOST_SHARE, lostRequests: LOST_SHARE })
    }
  }

  /** Resolves when every restarted node is ready. */
  public settled (): Promise<void> {
    return this._unreadyUntil
  }

  private async _kill (nodes: readonly NodeProcess[]): Promise<void> {
    await this._unreadyUntil
    await Promise.all(nodes.map((node) => node.kill()))
    await this._wait()
    this._restart(nodes)
  }

  private async _freeze (): Promise<void> {
    const node = this._anyNode()
    node.freeze()
    await this._wait()
    node.resume()
  }

  private async _stop (): Promise<void> {
    await this._unreadyUntil
    const node = this._anyNode()
    const code = await node.stop()
    if (code !== 0) this.failedStops++
    this._restart([node])
  }

  private async _platform (faults: Parameters<Deployment['platform']['faults']['set']>[0]): Promise<void> {
    this._deployment.platform.faults.set(faults)
    await this._wait()
    this._deployment.platform.faults.clear()
  }

  /** The next fault does not wait for the return, so that starts meet platform faults. */
  private _restart (nodes: readonly NodeProcess[]): void {
    this._unreadyUntil = Promise.all(nodes.map((node) => node.startUntilReady())).then((times) => {
      this.longestReturn = Math.max(this.longestReturn, ...times)
    })
  }

  private _anyNode (): NodeProcess {
    const { nodes } = this._deployment
    return nodes[SPARED_NODES + this._random.integer(nodes.length - SPARED_NODES)] as NodeProcess
  }

  private _wait (): Promise<void> {
    const durationMs = SHORTEST_FAULT_MS + this._random.integer(LONGEST_FAULT_MS - SHORTEST_FAULT_MS)
    return new Promise((resolve) => setTimeout(resolve, durationMs))
  }
}
