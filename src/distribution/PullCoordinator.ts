/** Runs one pull task for each service for which a newer version was announced. */
import type { IDisposable, ServiceName, Milliseconds, Timestamp } from '../common/Types.js'
import { Disposable } from '../common/Disposable.js'
import type { IVersionEntry } from '../documents/Types.js'
import type { ReceivedBody } from '../generated/savoryknot/Body.js'
import { type IPullSource, type IPullTaskOptions, PullTask } from './PullTask.js'

/** Defaults of the pull tasks. */
export const DEFAULT_PULL_OPTIONS = Object.freeze({ timeout: 1_000 as Milliseconds, attemptsPerSource: 2 })

/** Dependencies and limits of `PullCoordinator`; limits with a default may be omitted. */
export type IPullCoordinatorOptions = Omit<IPullTaskOptions, keyof typeof DEFAULT_PULL_OPTIONS> & Partial<IPullTaskOptions>

/** A body of one service is requested from one peer at a time. */
export class PullCoordinator extends Disposable implements IDisposable {
  private readonly _options: IPullTaskOptions
  private readonly _tasks = new Map<ServiceName, PullTask>()

  constructor (options: IPullCoordinatorOptions) {
    super()
    this._options = { ...DEFAULT_PULL_OPTIONS, ...options }
    this.register(this._options.held.onAdded((added) => {
      for (const { service } of added) this._tasks.get(service)?.wake()
    }))
  }

  /** Number of services that are being pulled. */
  public get pending (): number {
    return this._tasks.size
  }

  /** Records that `source` offers `entry`, and pulls the version if it is newer than the stored one. */
  public addOffer (entry: IVersionEntry, source: IPullSource, delay: Milliseconds, now: Timestamp): void {
    if (this.isDisposed || entry.version <= this._options.held.newestVersion(entry.service)) return
    const running = this._tasks.get(entry.service)
    if (running !== undefined && !running.isDone) {
      running.addOffer(source, entry.version, delay, now)
      return
    }
    const task = new PullTask(entry.service, this._options)
    task.addOffer(source, entry.version, delay, now)
    this._tasks.set(entry.service, task)
    this._run(entry.service, task)
  }

  /** Handles a received body; returns false if it was not requested or cannot be used. */
  public receive (source: IPullSource, body: ReceivedBody, now: Timestamp): boolean {
    const service = body.entry?.service as ServiceName | undefined
    const task = service === undefined ? undefined : this._tasks.get(service)
    return task?.receive(source, body, now) ?? false
  }

  /** Wakes all tasks after a source has closed. */
  public handleSourceClosed (): void {
    for (const task of this._tasks.values()) task.wake()
  }

  private _run (service: ServiceName, task: PullTask): void {
    task.run().finally(() => {
      if (this._tasks.get(service) === task) this._tasks.delete(service)
    })
  }
}
