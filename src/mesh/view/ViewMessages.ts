/** Builds and reads the messages by which nodes tell each other their view. */
import type { ContentHash } from '../../common/Types.js'
import { hashContent } from '../../common/Ids.js'
import { decodeBody, encodeBody } from '../../distribution/BodyCodec.js'
import type { ViewUpdate, ReceivedViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { IChangeBatch, IChangedRow, RowKey, StorePosition } from '../../platform/Types.js'
import type { IConfigurationService } from '../Services.js'
import type { ConfigurationVersion } from '../Types.js'

/** Largest configuration taken from another node, in bytes; several times what the platform keeps in one row. */
const MAXIMUM_CONFIGURATION_BYTES = 2_097_152

/** One configuration that was sent, as the base of the next one. */
export interface ISentConfiguration {
  readonly version: ConfigurationVersion
  readonly text: string
}

/** The configuration fields of an update: as a delta if the receiver holds `base`. */
export function encodeConfiguration (present: ISentConfiguration, base: ISentConfiguration | undefined): Partial<ViewUpdate> {
  return {
    configurationVersion: present.version,
    configurationBase: base?.version ?? 0,
    configuration: encodeBody(present.text, base?.text),
    configurationHash: Buffer.from(hashContent(present.text), 'hex')
  }
}

/**
 * Text of the configuration in an update; undefined if it carries none that is newer than the one in force.
 * Throws `BodyError` if it cannot be restored, for example because its base is not in force here.
 */
export function decodeConfiguration (update: ReceivedViewUpdate, held: IConfigurationService, peer: string): string | undefined {
  if (update.configurationVersion <= held.version) return undefined
  const base = update.configurationBase === held.version ? held.text : undefined
  const hash = update.configurationHash.toString('hex') as ContentHash
  return decodeBody(update.configuration, base, hash, { peer, maximumBytes: MAXIMUM_CONFIGURATION_BYTES })
}

/** Rows in the form of messages. */
export function encodeRows (rows: readonly IChangedRow[]): NonNullable<ViewUpdate['rows']> {
  return rows.map(({ key, position, value }) => ({ key, position, value: value ?? '' }))
}

/** Rows of an update as a batch of changes. */
export function decodeRows (update: ReceivedViewUpdate): IChangeBatch {
  const rows = update.rows.map(({ key, position, value }): IChangedRow => ({
    key: key as RowKey, position: position as StorePosition, value: value === '' ? undefined : value
  }))
  return { rows, position: update.nodesPosition as StorePosition, isWhole: false }
}
