/** When suspects are due to be declared dead, and when the dead are forgotten. */
import { addDuration } from '../common/Ids.js'
import { isGone } from './RecordOrder.js'
import type { IRandomService } from '../common/Services.js'
import type { Milliseconds, NodeId, Timestamp } from '../common/Types.js'
import type { IMembershipSettings } from './Options.js'
import type { INodeRecord } from './Types.js'

/** What the timers need. */
export interface ISuspicionTimersOptions {
  readonly settings: IMembershipSettings
  readonly random: IRandomService
}

/** How a record is watched. */
export interface IObservation {
  /** True if this node judges the member, which is of its own failure domain. */
  readonly isJudged: boolean
  readonly now: Timestamp
}

/** Holds a due time only for members that are suspect, dead or left. */
export class SuspicionTimers {
  private readonly _deaths = new Map<NodeId, Timestamp>()
  private readonly _forgets = new Map<NodeId, Timestamp>()

  constructor (private readonly _options: ISuspicionTimersOptions) {}

  /** Members that are dead or left. */
  public get goneIds (): readonly NodeId[] {
    return [...this._forgets.keys()]
  }

  /** This node is the author of the suspicion and the first to declare the death. */
  public startAuthored (id: NodeId, now: Timestamp): void {
    this._deaths.set(id, addDuration(now, this._options.settings.suspicionTimeout))
  }

  /** Follows a record that replaced another. */
  public observe (record: INodeRecord, observation: IObservation): void {
    const { settings } = this._options
    if (record.state === 'suspect') {
      if (observation.isJudged && !this._deaths.has(record.id)) this._startHeard(record.id, observation.now)
    } else this._deaths.delete(record.id)
    if (isGone(record.state)) this._forgets.set(record.id, addDuration(observation.now, settings.retention))
    else this._forgets.delete(record.id)
  }

  /** Takes what is due: members to declare dead and members to forget. */
  public takeDue (now: Timestamp): { readonly dead: readonly NodeId[], readonly forgotten: readonly NodeId[] } {
    return { dead: takeDue(this._deaths, now), forgotten: takeDue(this._forgets, now) }
  }

  private _startHeard (id: NodeId, now: Timestamp): void {
    const { settings, random } = this._options
    const spread = settings.suspicionSpread * (1 + random.fraction()) / 2
    this._deaths.set(id, addDuration(now, settings.suspicionTimeout + spread as Milliseconds))
  }
}

function takeDue (times: Map<NodeId, Timestamp>, now: Timestamp): readonly NodeId[] {
  const due: NodeId[] = []
  for (const [id, time] of times) {
    if (time <= now) due.push(id)
  }
  for (const id of due) times.delete(id)
  return due
}
