/** Suspends processes repeatedly, as on a VM with too little CPU time: requests and the disconnects of their callers pile up unread. */
import type { IRandomService } from '../../src/common/Services.js'
import type { SoakCallers } from './SoakCallers.js'
import { sleep, type SoakDeployment } from './SoakDeployment.js'
import type { SoakNode } from './SoakNode.js'

const MAXIMUM_PAUSE_MS = 2_000
const MINIMUM_SUSPENSION_MS = 20
const MAXIMUM_SUSPENSION_MS = 400
/** Maximum time that the process runs between two suspensions. */
const MAXIMUM_GAP_MS = 80
const MAXIMUM_SUSPENSIONS_IN_SERIES = 8
/** Share of the series that start right after a planned restart. */
const RESTART_SHARE = 0.4
const CHECK_INTERVAL_MS = 20
const ACKNOWLEDGED = 200
/** Nodes that are stopped without other faults, and the maximum time between two of these stops. */
const FINAL_STOPS = 2
const MAXIMUM_STOP_GAP_MS = 600

/** Runs in parallel with the other faults. It has a random generator of its own, so that it does not change their sequence for a seed. */
export class ProcessSuspensions {
  /** Number of suspensions so far. */
  public count = 0
  private _isStopped = false
  private _loop: Promise<void> = Promise.resolve()

  constructor (
    private readonly _deployment: SoakDeployment, private readonly _callers: SoakCallers, private readonly _random: IRandomService
  ) {}

  public start (): void {
    this._loop = this._run()
  }

  public async stop (): Promise<void> {
    this._isStopped = true
    await this._loop
  }

  /** Stops nodes as planned while no other fault is active; requests keep arriving until each process has exited. */
  public async stopWithoutOtherFaults (): Promise<void> {
    const first = this._random.integer(this._deployment.nodes.length)
    const stops: Array<Promise<void>> = []
    for (let count = 0; count < FINAL_STOPS; count++) {
      const node = this._deployment.nodes[(first + count) % this._deployment.nodes.length]
      if (node !== undefined) stops.push(this._restart(node, true))
      await sleep(this._random.integer(MAXIMUM_STOP_GAP_MS))
    }
    await Promise.all(stops)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      await sleep(this._random.integer(MAXIMUM_PAUSE_MS))
      const node = this._deployment.nodes[this._random.integer(this._deployment.nodes.length)]
      const isRestarted = this._random.fraction() < RESTART_SHARE
      const suspensions = Array.from({ length: 1 + this._random.integer(MAXIMUM_SUSPENSIONS_IN_SERIES) }, () => {
        const duration = MINIMUM_SUSPENSION_MS + this._random.integer(MAXIMUM_SUSPENSION_MS - MINIMUM_SUSPENSION_MS)
        return [duration, this._random.integer(MAXIMUM_GAP_MS)] as const
      })
      if (node === undefined || node.hasProcessFault) continue
      node.hasProcessFault = true
      if (isRestarted) await this._restart(node, false)
      await this._suspendRepeatedly(node, suspensions)
      node.hasProcessFault = false
    }
  }

  /** Callers disconnect at the suspended node and at the other nodes, which have persistent connections to it. */
  private async _suspendRepeatedly (node: SoakNode, suspensions: ReadonlyArray<readonly [number, number]>): Promise<void> {
    let isOver = false
    const senders = [node, node, ...this._deployment.nodes].map((target) => this._callers.sendContinuously(target, true, () => isOver))
    for (const [duration, gap] of suspensions) {
      node.freeze()
      const endDisruption = this._deployment.disruptions.startDisruption('late', node.identity.name, this._deployment.now())
      await sleep(duration)
      // Recorded before SIGCONT: otherwise the first actions of the resumed process would count as done while it was suspended.
      endDisruption(this._deployment.now())
      node.resume()
      this.count++
      await sleep(gap)
    }
    isOver = true
    await Promise.all(senders)
  }

  private async _restart (node: SoakNode, hasSenders: boolean): Promise<void> {
    let isOver = false
    const endDisruption = this._deployment.disruptions.startDisruption('stopping', node.identity.name, this._deployment.now())
    const senders = hasSenders ? [1, 2, 3].map(() => this._callers.sendContinuously(node, false, () => isOver)) : []
    await node.stop()
    isOver = true
    await Promise.all(senders)
    node.start()
    while (await node.reports.send() !== ACKNOWLEDGED && node.isRunning) await sleep(CHECK_INTERVAL_MS)
    endDisruption(this._deployment.now())
  }
}
