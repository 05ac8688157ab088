/** Encoded configuration updates for the nodes that follow this one. */
import type { ViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { ConfigurationVersion } from '../Types.js'
import { encodeConfiguration } from './ViewMessages.js'

/** Limits of `ConfigurationUpdateCache`. */
export interface IConfigurationUpdateCacheOptions {
  /** Total characters of earlier configurations that are stored as bases of deltas. */
  readonly maximumBaseCharacters: number
}

/** Defaults of `ConfigurationUpdateCache`: about ten versions of a configuration with 2,000 routes. */
export const DEFAULT_CONFIGURATION_UPDATE_CACHE_OPTIONS: IConfigurationUpdateCacheOptions = Object.freeze({
  maximumBaseCharacters: 2_000_000
})

const NO_VERSION = 0 as ConfigurationVersion
const NO_FIELDS: Partial<ViewUpdate> = Object.freeze({})

/** Encodes an update once for all followers that have the same version: as a delta if the text of that version is still stored. */
export class ConfigurationUpdateCache {
  private readonly _options: IConfigurationUpdateCacheOptions
  /** Texts of earlier versions, oldest first. */
  private readonly _baseTexts = new Map<ConfigurationVersion, string>()
  /** Fields of updates to the current version, by the version that the follower has; 0 for the complete text. */
  private readonly _encodedFields = new Map<ConfigurationVersion, Partial<ViewUpdate>>()
  private _version = NO_VERSION
  private _text = ''

  constructor (options: Partial<IConfigurationUpdateCacheOptions> = {}) {
    this._options = { ...DEFAULT_CONFIGURATION_UPDATE_CACHE_OPTIONS, ...options }
  }

  /** Sets the active configuration; the previous one becomes a base of deltas. */
  public setCurrent (version: ConfigurationVersion, text: string): void {
    if (this._version !== NO_VERSION) this._baseTexts.set(this._version, this._text)
    this._version = version
    this._text = text
    this._encodedFields.clear()
    this._evictOldestBases()
  }

  /** Configuration fields of an update for a follower that has `followerVersion` (0: none); empty if that version is current or newer. */
  public updateFieldsFor (followerVersion: ConfigurationVersion): Partial<ViewUpdate> {
    if (followerVersion >= this._version) return NO_FIELDS
    const base = this._baseTexts.get(followerVersion)
    const key = base === undefined ? NO_VERSION : followerVersion
    let fields = this._encodedFields.get(key)
    if (fields === undefined) {
      const current = { version: this._version, text: this._text }
      fields = encodeConfiguration(current, base === undefined ? undefined : { version: followerVersion, text: base })
      this._encodedFields.set(key, fields)
    }
    return fields
  }

  private _evictOldestBases (): void {
    let characters = 0
    for (const text of this._baseTexts.values()) characters += text.length
    for (const [version, text] of this._baseTexts) {
      if (characters <= this._options.maximumBaseCharacters) return
      this._baseTexts.delete(version)
      characters -= text.length
    }
  }
}
