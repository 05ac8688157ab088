/** Reads accepted documents for one node and counts the texts that are transferred from the store to another region. */
import type { ContentHash, Region } from '../../src/common/Types.js'
import { AcceptedDocuments, type IAcceptedDocumentsOptions } from '../../src/documents/AcceptedDocuments.js'
import { regionOf } from './FleetShape.js'
import type { RegionTraffic } from './RegionTraffic.js'

/** Assumes that the store is in the first region. */
export class CountingDocuments extends AcceptedDocuments {
  constructor (options: IAcceptedDocumentsOptions, private readonly _region: Region, private readonly _traffic: RegionTraffic) {
    super(options)
  }

  public override async readText (hash: ContentHash): Promise<string | undefined> {
    const text = await super.readText(hash)
    if (text !== undefined) this._traffic.countText(regionOf(0), this._region, hash)
    return text
  }
}
