/** Immutable set of active documents. */
import type { ServiceName } from '../common/Types.js'
import type { IActiveDocument, IResourceReference, ISnapshot, Resource } from './Types.js'

/** Shares unchanged documents with the snapshot that it was built from. */
export class Snapshot implements ISnapshot {
  constructor (public readonly documents: ReadonlyMap<ServiceName, IActiveDocument>) {
    Object.freeze(this)
  }

  public resource (reference: IResourceReference): Resource | undefined {
    const document = this.documents.get(reference.service)?.document
    return document?.resources.find((resource) => resource.name === reference.resource)
  }
}
