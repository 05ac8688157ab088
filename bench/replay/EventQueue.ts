/** Simulated time: runs actions in the order of their due times. */

interface IAction { readonly at: number, readonly order: number, readonly run: () => void }

/** A binary heap of actions; actions that are due at the same time run in the order in which they were added. */
export class EventQueue {
  private readonly _heap: IAction[] = []
  private _order = 0
  private _now = 0

  /** Milliseconds since the start. */
  public get now (): number {
    return this._now
  }

  public after (delay: number, run: () => void): void {
    const heap = this._heap
    heap.push({ at: this._now + Math.max(0, delay), order: this._order++, run })
    let child = heap.length - 1
    while (child > 0) {
      const parent = (child - 1) >> 1
      if (!isEarlier(heap[child], heap[parent])) return
      swap(heap, child, parent)
      child = parent
    }
  }

  /** Runs all actions that are due until `end`. */
  public runUntil (end: number): void {
    for (let action = this._heap[0]; action !== undefined && action.at <= end; action = this._heap[0]) {
      this._removeFirst()
      this._now = action.at
      action.run()
    }
    this._now = end
  }

  private _removeFirst (): void {
    const heap = this._heap
    const last = heap.pop()
    if (last === undefined || heap.length === 0) return
    heap[0] = last
    for (let parent = 0; ;) {
      let least = parent
      for (const child of [2 * parent + 1, 2 * parent + 2]) {
        if (child < heap.length && isEarlier(heap[child], heap[least])) least = child
      }
      if (least === parent) return
      swap(heap, parent, least)
      parent = least
    }
  }
}

function isEarlier (left: IAction | undefined, right: IAction | undefined): boolean {
  if (left === undefined || right === undefined) return false
  return left.at === right.at ? left.order < right.order : left.at < right.at
}

function swap (heap: IAction[], left: number, right: number): void {
  [heap[left], heap[right]] = [heap[right] as IAction, heap[left] as IAction]
}
