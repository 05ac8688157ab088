/** Schedules when suspects are declared dead and when the records of dead and left members are removed. */
import { addDuration } from '../common/Ids.js'
import { isDeadOrLeft } from './RecordOrder.js'
import type { IRandomService } from '../common/Services.js'
import type { Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import type { IMembershipSettings } from './Options.js'
import type { INodeRecord } from './Types.js'

/** Dependencies and settings of SuspicionTimers. */
export interface ISuspicionTimersOptions {
  readonly settings: IMembershipSettings
  readonly random: IRandomService
}

/** Circumstances under which a record was merged. */
export interface IObservation {
  /** True if this node may declare the member dead, which is the case inside its own failure domain. */
  readonly isMonitored: boolean
  readonly now: Timestamp
}

/** Keeps a due time only for members that are suspect, dead or left. */
export class SuspicionTimers {
  private readonly _deathDueTimes = new Map<NodeId, Timestamp>()
  private readonly _removalDueTimes = new Map<NodeId, Timestamp>()

  constructor (private readonly _options: ISuspicionTimersOptions) {}

  /** Members that are dead or left. */
  public get deadOrLeftIds (): readonly NodeId[] {
    return [...this._removalDueTimes.keys()]
  }

  /** Starts the timeout of a suspicion that this node raised. It is shorter than on other nodes, so this node declares the death first. */
  public startOwnSuspicion (id: NodeId, now: Timestamp): void {
    this._deathDueTimes.set(id, addDuration(now, this._options.settings.suspicionTimeout))
  }

  /** Updates the due times of a member after its record was replaced. */
  public observe (record: INodeRecord, observation: IObservation): void {
    const { settings } = this._options
    if (record.state === 'suspect') {
      if (observation.isMonitored && !this._deathDueTimes.has(record.id)) this._startReportedSuspicion(record.id, observation.now)
    } else this._deathDueTimes.delete(record.id)
    if (isDeadOrLeft(record.state)) this._removalDueTimes.set(record.id, addDuration(observation.now, settings.retention))
    else this._removalDueTimes.delete(record.id)
  }

  /** Removes and returns the due members: those to declare dead, and those whose records are to be removed. */
  public removeDue (now: Timestamp): { readonly dead: readonly NodeId[], readonly forgotten: readonly NodeId[] } {
    return { dead: removeDue(this._deathDueTimes, now), forgotten: removeDue(this._removalDueTimes, now) }
  }

  private _startReportedSuspicion (id: NodeId, now: Timestamp): void {
    const { settings, random } = this._options
    const spread = settings.suspicionSpread * (1 + random.fraction()) / 2
    this._deathDueTimes.set(id, addDuration(now, settings.suspicionTimeout + spread as Milliseconds))
  }
}

function removeDue (times: Map<NodeId, Timestamp>, now: Timestamp): readonly NodeId[] {
  const due: NodeId[] = []
  for (const [id, time] of times) {
    if (time <= now) due.push(id)
  }
  for (const id of due) times.delete(id)
  return due
}
