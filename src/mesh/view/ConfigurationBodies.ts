/** The bodies that bring followers from the configuration that they hold to the present one. */
import type { ViewUpdate } from '../../generated/savoryknot/ViewUpdate.js'
import type { ConfigurationVersion } from '../Types.js'
import { encodeConfiguration } from './ViewMessages.js'

/** Limits of what is kept. */
export interface IConfigurationBodiesOptions {
  /** Characters of earlier texts that are kept as bases of deltas. */
  readonly keptCharacters: number
}

/** Defaults of `ConfigurationBodies`: some ten versions of a configuration with 2,000 routes. */
export const DEFAULT_CONFIGURATION_BODIES_OPTIONS: IConfigurationBodiesOptions = Object.freeze({ keptCharacters: 2_000_000 })

const NO_VERSION = 0 as ConfigurationVersion
const NO_BODY: Partial<ViewUpdate> = Object.freeze({})

/** Encodes each body once, however many followers need it, against any earlier text that is still kept. */
export class ConfigurationBodies {
  private readonly _options: IConfigurationBodiesOptions
  /** Earlier texts, the oldest first. */
  private readonly _earlier = new Map<ConfigurationVersion, string>()
  /** Bodies of the present version, by the version that the follower holds. */
  private readonly _encoded = new Map<ConfigurationVersion, Partial<ViewUpdate>>()
  private _version = NO_VERSION
  private _text = ''

  constructor (options: Partial<IConfigurationBodiesOptions> = {}) {
    this._options = { ...DEFAULT_CONFIGURATION_BODIES_OPTIONS, ...options }
  }

  /** Takes the configuration that is in force now. */
  public replace (version: ConfigurationVersion, text: string): void {
    if (this._version !== NO_VERSION) this._earlier.set(this._version, this._text)
    this._version = version
    this._text = text
    this._encoded.clear()
    this._forget()
  }

  /** Configuration fields for a follower that holds `held`, 0 for none; nothing if that is the present version or a newer one. */
  public bodyFor (held: ConfigurationVersion): Partial<ViewUpdate> {
    if (held >= this._version) return NO_BODY
    const base = this._earlier.get(held)
    const key = base === undefined ? NO_VERSION : held
    let body = this._encoded.get(key)
    if (body === undefined) {
      const present = { version: this._version, text: this._text }
      body = encodeConfiguration(present, base === undefined ? undefined : { version: held, text: base })
      this._encoded.set(key, body)
    }
    return body
  }

  private _forget (): void {
    let characters = 0
    for (const text of this._earlier.values()) characters += text.length
    for (const [version, text] of this._earlier) {
      if (characters <= this._options.keptCharacters) return
      this._earlier.delete(version)
      characters -= text.length
    }
  }
}
