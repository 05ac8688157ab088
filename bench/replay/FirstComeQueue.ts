/** Baseline for the request queue: first come, first served; a request is refused only when its deadline expires in the queue. */
import type { Milliseconds, Timestamp } from '../../src/common/Types.js'
import type { IDequeueResult, QueueDecision } from '../../src/mesh/endpoint/RequestQueue.js'
import type { ReplayedRequest } from './ReplayedRequest.js'
import type { IReplayedQueue } from './Types.js'

/** Ignores ranks and objectives. */
export class FirstComeQueue implements IReplayedQueue {
  private readonly _running = new Set<ReplayedRequest>()
  private _waiting: ReplayedRequest[] = []
  private _slots = 0

  public get running (): number {
    return this._running.size
  }

  public get waiting (): number {
    return this._waiting.length
  }

  public resize (slots: number): void {
    this._slots = slots
  }

  public offer (request: ReplayedRequest): QueueDecision<ReplayedRequest> {
    if (this._running.size < this._slots) {
      this._running.add(request)
      return { kind: 'start' }
    }
    this._waiting.push(request)
    return { kind: 'wait', displaced: [] }
  }

  public release (request: ReplayedRequest): void {
    this._running.delete(request)
  }

  public next (now: Timestamp): IDequeueResult<ReplayedRequest> {
    const expired = this._waiting.filter(({ deadlineAt }) => now >= deadlineAt)
    this._waiting = this._waiting.filter(({ deadlineAt }) => now < deadlineAt)
    const next = this._running.size < this._slots ? this._waiting.shift() : undefined
    if (next !== undefined) this._running.add(next)
    return { next, expired }
  }

  public expectedWait (): Milliseconds {
    let work = 0
    for (const { expected } of this._waiting) work += expected
    return Math.round(work / Math.max(1, this._slots)) as Milliseconds
  }
}
