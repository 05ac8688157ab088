/** Creates the row of a service's newest version. */
import type { ServiceName } from '../../common/Types.js'
import { routeReferences } from '../RouteReferences.js'
import type { IAcceptedChange, IServiceDocument } from '../Types.js'
import { isSameResource, type IDocumentRow, type IReferenceEntry, type IResourceEntry } from './Rows.js'

/** The row of `change`; a deletion keeps the owner of `previous`. */
export function createDocumentRow (
  change: IAcceptedChange, document: IServiceDocument | undefined, previous: IDocumentRow | undefined
): IDocumentRow {
  const owner = document?.owner ?? previous?.owner
  if (owner === undefined) throw new TypeError('a deletion needs a previous version')
  return { change, owner, exports: exportsOf(document), references: referencesOf(change.service, document) }
}

/** Resources that routes of other services may refer to. */
export function exportsOf (document: IServiceDocument | undefined): IResourceEntry[] {
  const exported = document?.resources.filter((resource) => resource.isExported) ?? []
  return exported.map(({ kind, name }) => ({ kind, resource: name }))
}

/** Resources of other services that routes refer to, each once. */
export function referencesOf (service: ServiceName, document: IServiceDocument | undefined): IReferenceEntry[] {
  const references: IReferenceEntry[] = []
  for (const { kind, reference } of routeReferences(document?.routes ?? [])) {
    const entry: IReferenceEntry = { kind, ...reference }
    if (entry.service === service || references.some((other) => isSameReference(other, entry))) continue
    references.push(entry)
  }
  return references
}

export function isSameReference (left: IReferenceEntry, right: IReferenceEntry): boolean {
  return left.service === right.service && isSameResource(left, right)
}
