/** Processes that read late, as on a VM with too little processor: what callers sent and took back lies unread together. */
import type { IRandomService } from '../../src/common/Services.js'
import type { SoakCallers } from './SoakCallers.js'
import { sleep, type SoakDeployment } from './SoakDeployment.js'
import type { SoakNode } from './SoakNode.js'

const LONGEST_PAUSE_MS = 2_000
const SHORTEST_LATENESS_MS = 20
const LONGEST_LATENESS_MS = 400
/** Longest time in which the process reads between two suspensions. */
const LONGEST_GAP_MS = 80
const LONGEST_SERIES = 8
/** Share of the series that begin right after a planned restart. */
const RESTART_SHARE = 0.4
const CHECK_INTERVAL_MS = 20
const ACKNOWLEDGED = 200
/** Nodes that are stopped in calm, and the longest time between two of them. */
const CALM_STOPS = 2
const LONGEST_STOP_GAP_MS = 600

/** Runs beside the other faults, with random numbers of its own, so that those of a seed stay as they were. */
export class LateReaders {
  /** Suspensions so far. */
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

  /** Planned stops with no fault before or beside them, while requests keep coming until the process is gone. */
  public async stopInCalm (): Promise<void> {
    const first = this._random.integer(this._deployment.nodes.length)
    const stops: Array<Promise<void>> = []
    for (let count = 0; count < CALM_STOPS; count++) {
      const node = this._deployment.nodes[(first + count) % this._deployment.nodes.length]
      if (node !== undefined) stops.push(this._restart(node, true))
      await sleep(this._random.integer(LONGEST_STOP_GAP_MS))
    }
    await Promise.all(stops)
  }

  private async _run (): Promise<void> {
    while (!this._isStopped) {
      await sleep(this._random.integer(LONGEST_PAUSE_MS))
      const node = this._deployment.nodes[this._random.integer(this._deployment.nodes.length)]
      const isRestarted = this._random.fraction() < RESTART_SHARE
      const latenesses = Array.from({ length: 1 + this._random.integer(LONGEST_SERIES) }, () => {
        const lateness = SHORTEST_LATENESS_MS + this._random.integer(LONGEST_LATENESS_MS - SHORTEST_LATENESS_MS)
        return [lateness, this._random.integer(LONGEST_GAP_MS)] as const
      })
      if (node === undefined || node.isBusy) continue
      node.isBusy = true
      if (isRestarted) await this._restart(node, false)
      await this._readLate(node, latenesses)
      node.isBusy = false
    }
  }

  /** Callers leave at the node itself and at the others, which keep connections to it. */
  private async _readLate (node: SoakNode, latenesses: ReadonlyArray<readonly [number, number]>): Promise<void> {
    let isOver = false
    const pressed = [node, node, ...this._deployment.nodes].map((one) => this._callers.press(one, true, () => isOver))
    for (const [lateness, gap] of latenesses) {
      node.freeze()
      const end = this._deployment.disruptions.begin('late', node.place.name, this._deployment.now())
      await sleep(lateness)
      // Noted before the process can run on, or what it does first would count as done while suspended.
      end(this._deployment.now())
      node.resume()
      this.count++
      await sleep(gap)
    }
    isOver = true
    await Promise.all(pressed)
  }

  private async _restart (node: SoakNode, isPressed: boolean): Promise<void> {
    let isOver = false
    const end = this._deployment.disruptions.begin('stopping', node.place.name, this._deployment.now())
    const pressed = isPressed ? [1, 2, 3].map(() => this._callers.press(node, false, () => isOver)) : []
    await node.stop()
    isOver = true
    await Promise.all(pressed)
    node.start()
    while (await node.reports.send() !== ACKNOWLEDGED && node.isRunning) await sleep(CHECK_INTERVAL_MS)
    end(this._deployment.now())
  }
}
