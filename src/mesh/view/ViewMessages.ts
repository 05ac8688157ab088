/** Encodes and decodes the messages that carry the view from node to node. */
import type { ContentHash } from '../../common/Types.js'
import { hashContent } from '../../common/Ids.js'
import { decodeBody, encodeBody } from '../../distribution/BodyCodec.js'
import type { ViewUpdate, ReceivedViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition } from '../../platform/Types.js'
import type { IConfigurationService } from '../Services.js'
import type { ConfigurationVersion } from '../Types.js'

/** Largest configuration accepted from another node, in bytes; several times the size limit of a row of the platform. */
const MAXIMUM_CONFIGURATION_BYTES = 2_097_152
/**
 * Stands for the empty value of a row, since an empty value in a message marks a deleted row. No node writes such a row, and a receiver can
 * read neither value.
 */
const EMPTY_ROW_VALUE = ' '

/** Text of one version of the configuration. */
export interface IVersionedConfiguration {
  readonly version: ConfigurationVersion
  readonly text: string
}

/** Configuration fields of an update: a delta if the receiver has `base`, else the complete text. */
export function encodeConfiguration (current: IVersionedConfiguration, base: IVersionedConfiguration | undefined): Partial<ViewUpdate> {
  return {
    configurationVersion: current.version,
    configurationBase: base?.version ?? 0,
    configuration: encodeBody(current.text, base?.text),
    configurationHash: Buffer.from(hashContent(current.text), 'hex')
  }
}

/**
 * Text of the configuration in an update; undefined if the update contains no version newer than the active one.
 * Throws `BodyError` if the text cannot be restored, for example because the base of the delta is not active on this node.
 */
export function decodeConfiguration (update: ReceivedViewUpdate, configuration: IConfigurationService, peer: string): string | undefined {
  if (update.configurationVersion <= configuration.version) return undefined
  const base = update.configurationBase === configuration.version ? configuration.text : undefined
  const hash = update.configurationHash.toString('hex') as ContentHash
  return decodeBody(update.configuration, base, hash, { peer, maximumBytes: MAXIMUM_CONFIGURATION_BYTES })
}

/** Rows of an update; see `decodeRows`. */
export function encodeRows (rows: readonly IChangedRow[]): NonNullable<ViewUpdate['rows']> {
  return rows.map(({ key, position, value }) => ({ key, position, value: value === '' ? EMPTY_ROW_VALUE : value ?? '' }))
}

/** Decodes the rows of an update; an empty value marks a deleted row. */
export function decodeRows (update: ReceivedViewUpdate): IChangeBatch {
  const rows = update.rows.map(({ key, position, value }): IChangedRow => ({
    key: key as RowKey, position: position as StorePosition, value: value === '' ? undefined : value
  }))
  return { rows, position: update.nodesPosition as StorePosition, isWhole: false }
}
