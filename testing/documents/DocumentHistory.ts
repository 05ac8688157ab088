/** Histories of documents as acceptance allows them, for properties with fast-check. */
import fc from 'fast-check'
import type { IVersionedText } from '../../src/documents/Types.js'
import { versionOf, writeDocument } from './DocumentText.js'

/** One wish: a service gets these pools and these targets, or is deleted. */
export interface IDocumentWish {
  readonly service: string
  readonly isDeletion: boolean
  readonly pools: readonly string[]
  readonly targets: readonly string[]
}

const SERVICES = ['one', 'two', 'three', 'four']
const POOLS = ['a', 'b']
const TARGETS = SERVICES.flatMap((service) => POOLS.map((pool) => `${service}/${pool}`))

/** Wishes for few services, so that they meet often. */
export const documentWish: fc.Arbitrary<IDocumentWish> = fc.record({
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

/** Linear history of what acceptance must allow. */
export class DocumentModel {
  public readonly services = new Map<string, IModelService>()
  public readonly history: IVersionedText[] = []

  /** Version of a service, 0 if there is none. */
  public version (service: string): number {
    return this.services.get(service)?.version ?? 0
  }

  /** Whether the wish may follow the present state. */
  public allows (wish: IDocumentWish): boolean {
    const present = this.services.get(wish.service)
    if (wish.isDeletion && (present === undefined || present.isDeleted)) return false
    const pools = wish.isDeletion ? [] : wish.pools
    const targets = wish.isDeletion ? [] : wish.targets
    const isProvided = targets.every((target) => this._provides(target, wish.service, pools))
    const isMissed = [...this.services].some(([service, { targets: others }]) =>
      service !== wish.service && others.some((target) => target.startsWith(`${wish.service}/`) && !this._provides(target, wish.service, pools)))
    return isProvided && !isMissed
  }

  /** Takes the wish into the history. */
  public apply (wish: IDocumentWish): IVersionedText {
    const version = this.version(wish.service) + 1
    const { pools, targets } = wish.isDeletion ? { pools: [], targets: [] } : wish
    this.services.set(wish.service, { version, isDeleted: wish.isDeletion, pools, targets })
    const entry = versionOf(wish.service, version, wishText(wish, version))
    this.history.push(entry)
    return entry
  }

  /** Newest version of every service. */
  public newest (): IVersionedText[] {
    return this.history.filter(({ service, version }) => version === this.version(service))
  }

  private _provides (target: string, changed: string, pools: readonly string[]): boolean {
    const [service, pool] = target.split('/')
    return service === changed ? pools.includes(pool) : this.services.get(service)?.pools.includes(pool) === true
  }
}

/** Text of a wish; `version` makes every text another one. */
export function wishText (wish: IDocumentWish, version: number): string | undefined {
  return wish.isDeletion ? undefined : writeDocument({ ...wish, note: `version ${version}` })
}

/** A model after as many of the wishes as it allows. */
export const documentHistory: fc.Arbitrary<DocumentModel> = fc.array(documentWish, { maxLength: 40 }).map((wishes) => {
  const model = new DocumentModel()
  for (const wish of wishes) {
    if (model.allows(wish)) model.apply(wish)
  }
  return model
})
