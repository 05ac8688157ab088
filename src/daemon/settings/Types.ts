/** Types of validated settings. */
import type { z } from 'zod'
import type { NetworkAddress } from '../../common/Types.js'
import type { IUpstreamSettings } from '../../gate/Services.js'
import type { IKeyFileNames } from '../keys/KeyFiles.js'
import type { LIMITS_SECTION, LOG_SECTION, NODE_SECTION, PLATFORM_SECTION } from './SettingsSchema.js'

/** All settings of a process. */
export interface ISettings {
  readonly node: Readonly<z.infer<typeof NODE_SECTION>>
  readonly upstreams: readonly IUpstreamSettings[]
  readonly platform: Readonly<z.infer<typeof PLATFORM_SECTION>>
  readonly peers: readonly NetworkAddress[]
  /** Undefined if certificates are off. */
  readonly keys: IKeyFileNames | undefined
  readonly log: Readonly<z.infer<typeof LOG_SECTION>>
  readonly limits: Readonly<z.infer<typeof LIMITS_SECTION>>
}

/** One fault of a settings file. */
export interface ISettingsFault {
  readonly section: string
  /** Empty if the fault concerns the complete section. */
  readonly key: string
  readonly message: string
}
