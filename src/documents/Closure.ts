/** Finds routes that point at a resource which a set of documents lacks. */
import type { ServiceName } from '../common/Types.js'
import { describeReference, provides, routeReferences } from './References.js'
import type { IActiveDocument } from './Types.js'

/** A reference without its resource. */
export interface IOpenReference {
  /** Service whose route refers. */
  readonly from: ServiceName
  /** Service that lacks the resource. */
  readonly to: ServiceName
  readonly reason: string
}

/** Every reference to a missing, not exported or otherwise unfit resource. */
export function findOpenReferences (documents: ReadonlyMap<ServiceName, IActiveDocument>): IOpenReference[] {
  const open: IOpenReference[] = []
  for (const [from, { document }] of documents) {
    if (document === undefined) continue
    for (const wanted of routeReferences(document.routes)) {
      const to = wanted.reference.service
      if (provides(documents.get(to)?.document, wanted, from)) continue
      open.push({ from, to, reason: `route ${wanted.route} of ${from} needs ${describeReference(wanted)}` })
    }
  }
  return open
}
