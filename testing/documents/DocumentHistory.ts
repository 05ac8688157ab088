/** Arbitrary histories of documents that acceptance allows, for property tests with fast-check. */
import fc from 'fast-check'
import type { IVersionedText } from '../../src/documents/Types.js'
import { versionOf, writeDocument } from './DocumentText.js'

/** A proposed change: a service gets these pools and these targets of routes, or is deleted. */
export interface IProposedChange {
  readonly service: string
  readonly isDeletion: boolean
  readonly pools: readonly string[]
  readonly targets: readonly string[]
}

const SERVICES = ['one', 'two', 'three', 'four']
const POOLS = ['a', 'b']
const TARGETS = SERVICES.flatMap((service) => POOLS.map((pool) => `${service}/${pool}`))

/** Changes of few services, so that they often refer to each other. */
export const proposedChange: fc.Arbitrary<IProposedChange> = fc.record({
  service: fc.constantFrom(...SERVICES),
  isDeletion: fc.integer({ min: 0, max: 5 }).map((draw) => draw === 0),
  pools: fc.subarray(POOLS),
  targets: fc.subarray(TARGETS, { maxLength: 3 })
})

/** State of one service in the model. */
export interface IModelService {
  readonly version: number
  readonly isDeleted: boolean
  readonly pools: readonly string[]
  readonly targets: readonly string[]
}

/** Model of acceptance: a linear history of the changes that it must allow. */
export class DocumentModel {
  public readonly services = new Map<string, IModelService>()
  public readonly history: IVersionedText[] = []

  /** Current version of a service, 0 if there is none. */
  public version (service: string): number {
    return this.services.get(service)?.version ?? 0
  }

  /** Whether the change may be accepted in the current state. */
  public allows (change: IProposedChange): boolean {
    const current = this.services.get(change.service)
    if (change.isDeletion && (current === undefined || current.isDeleted)) return false
    const pools = change.isDeletion ? [] : change.pools
    const targets = change.isDeletion ? [] : change.targets
    const isProvided = targets.every((target) => this._hasPool(target, change.service, pools))
    const isStillReferenced = [...this.services].some(([service, { targets: others }]) =>
      service !== change.service && others.some((target) => target.startsWith(`${change.service}/`) && !this._hasPool(target, change.service, pools)))
    return isProvided && !isStillReferenced
  }

  /** Adds the change to the history. */
  public apply (change: IProposedChange): IVersionedText {
    const version = this.version(change.service) + 1
    const { pools, targets } = change.isDeletion ? { pools: [], targets: [] } : change
    this.services.set(change.service, { version, isDeleted: change.isDeletion, pools, targets })
    const entry = versionOf(change.service, version, proposedText(change, version))
    this.history.push(entry)
    return entry
  }

  /** Newest version of every service. */
  public newest (): IVersionedText[] {
    return this.history.filter(({ service, version }) => version === this.version(service))
  }

  private _hasPool (target: string, changed: string, pools: readonly string[]): boolean {
    const [service, pool] = target.split('/')
    return service === changed ? pools.includes(pool) : this.services.get(service)?.pools.includes(pool) === true
  }
}

/** Document text of a change; `version` makes every text different. */
export function proposedText (change: IProposedChange, version: number): string | undefined {
  return change.isDeletion ? undefined : writeDocument({ ...change, note: `version ${version}` })
}

/** A model to which all allowed changes of a random list were applied. */
export const documentHistory: fc.Arbitrary<DocumentModel> = fc.array(proposedChange, { maxLength: 40 }).map((changes) => {
  const model = new DocumentModel()
  for (const change of changes) {
    if (model.allows(change)) model.apply(change)
  }
  return model
})
