/** Encodes and decodes the messages that carry the view from node to node. */
import type { ContentHash } from '../../common/Types.js'
import { hashContent } from '../../common/Ids.js'
import { decodeBody, encodeBody } from '../../distribution/BodyCodec.js'
import type { ViewUpdate, ReceivedViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition } from '../../platform/Types.js'
import type { IConfigurationService } from '../Services.js'
import type { ConfigurationVersion, NodeName } from '../Types.js'
import { decodeNodeRow } from './NodeRowCodec.js'

/** Largest configuration accepted from another node, in bytes; several times the size limit of a row of the platform. */
const MAXIMUM_CONFIGURATION_BYTES = 2_097_152
/**
 * Stands for a row that cannot be read, where its value is empty, which marks a deleted row in a message, or long. Such rows are from
 * another writer, and a receiver cannot read this value either.
 */
const UNREADABLE_ROW_VALUE = ' '
/** Rows of nodes have a few hundred characters without crash reports. Shorter unreadable rows are sent: a later build may read them. */
const MAXIMUM_UNREADABLE_CHARACTERS = 2_048

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

/** Rows of an update; see `decodeRows`. Rows that cannot be read must not make a message longer than a node accepts. */
export function encodeRows (rows: readonly IChangedRow[]): NonNullable<ViewUpdate['rows']> {
  return rows.map((row) => ({ key: row.key, position: row.position, value: valueToSend(row) }))
}

function valueToSend ({ key, value }: IChangedRow): string {
  if (value === undefined) return ''
  const isReplaced = value === '' || (value.length > MAXIMUM_UNREADABLE_CHARACTERS && !isReadableRow(value, key))
  return isReplaced ? UNREADABLE_ROW_VALUE : value
}

function isReadableRow (value: string, key: RowKey): boolean {
  try {
    decodeNodeRow(value, key as string as NodeName)
    return true
  } catch {
    return false
  }
}

/** Decodes the rows of an update; an empty value marks a deleted row. */
export function decodeRows (update: ReceivedViewUpdate): IChangeBatch {
  const rows = update.rows.map(({ key, position, value }): IChangedRow => ({
    key: key as RowKey, position: position as StorePosition, value: value === '' ? undefined : value
  }))
  return { rows, position: update.nodesPosition as StorePosition, isWhole: false }
}
