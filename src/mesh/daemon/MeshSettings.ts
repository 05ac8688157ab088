/** Settings of a mesh node: zod schemas of the sections, and the parser of the settings file. */
import { readFileSync } from 'node:fs'
import { z } from 'zod'
import { IniSectionReader } from '../../common/IniSectionReader.js'
import { fractionalDurationValue, numberValue, optionalValue, textValue } from '../../common/IniValues.js'
import { parseNumber } from '../../common/Units.js'
import type { FailureDomain, Milliseconds, Region, ServiceName } from '../../common/Types.js'
import { SettingsError } from '../../daemon/settings/SettingsError.js'
import { LOG_SECTION, addressValue } from '../../daemon/settings/SettingsSchema.js'
import type { NodeName } from '../Types.js'

/** Environment variable by which a platform states the memory of the VM, in MB. */
export const MEMORY_VARIABLE = 'SAVORYKNOT_MEMORY_MB'
/** Bounds of the memory, in MB. */
const MEMORY_BOUNDS = Object.freeze({ minimum: 32, maximum: 1_000_000 })
const HOUR_MS = 3_600_000
const MAXIMUM_TEXT_LENGTH = 200

/** A name chosen by the deployment, of any characters. */
function labelValue<TName extends string> (description: string): z.ZodType<TName> {
  return textValue({ description }, `a text of up to ${MAXIMUM_TEXT_LENGTH} characters`, (text) => text.length <= MAXIMUM_TEXT_LENGTH ? text as TName : undefined)
}

/** A duration of up to one hour, which deployments write in milliseconds or seconds. */
function boundValue (description: string, fallback: string): z.ZodType<Milliseconds> {
  return fractionalDurationValue({ description, default: fallback }, { minimum: 0, maximum: HOUR_MS })
}

export const MESH_SECTION = z.strictObject({
  node: labelValue<NodeName>('Name of this node; a restarted process has the same name.'),
  'failure-domain': labelValue<FailureDomain>('Failure domain in which this node runs.'),
  region: labelValue<Region>('Region of the failure domain.'),
  service: optionalValue(labelValue<ServiceName>(
    'Service that runs on this VM; reports of another one are refused. Without it, the endpoint may report any service of the configuration.'
  )),
  'endpoint-address': optionalValue(addressValue('Address of the endpoint on this VM; reports of another one are refused. Without it, the endpoint may report any address.')),
  'caller-address': addressValue('HTTP port for callers on this VM.'),
  'gate-address': addressValue('HTTP port for calls from other nodes.'),
  'peer-address': addressValue('RPC port for the views of other nodes.'),
  'ready-address': addressValue('HTTP port for the readiness probes of the platform.'),
  'control-address': addressValue('HTTP port for the reports of the endpoint on this VM.'),
  'metrics-address': addressValue('HTTP port for /metrics.'),
  memory: numberValue({
    description: `Memory that this process may use, in MB, from which the limit for request bodies follows. The environment variable ${MEMORY_VARIABLE} takes precedence.`,
    default: '178'
  }, MEMORY_BOUNDS)
})

export const STORE_SECTION = z.strictObject({
  address: addressValue('The platform\'s store.')
})

export const BOUNDS_SECTION = z.strictObject({
  heartbeat: boundValue('Time between two reports of an endpoint.', '1500 ms'),
  stop: boundValue('Longest time between a request to stop and the end of the process.', '6 s'),
  'retry-window': boundValue('Window in which retries are counted.', '10 s'),
  'retry-share': numberValue({ description: 'Retries in a window as a share of its requests.', default: '0.2' }, { minimum: 0, maximum: 1 }),
  'retry-slack': numberValue({ description: 'Retries in a window in addition to the share, over all nodes.', default: '50' }, { minimum: 0, maximum: 1_000_000 })
})

/** Parsed and validated settings of a mesh node. */
export interface IMeshSettings {
  readonly mesh: z.infer<typeof MESH_SECTION>
  readonly store: z.infer<typeof STORE_SECTION>
  readonly bounds: z.infer<typeof BOUNDS_SECTION>
  readonly log: z.infer<typeof LOG_SECTION>
}

const SECTIONS = ['mesh', 'store', 'bounds', 'log']

/** Reads and validates a settings file and the memory in the environment. Throws `SettingsError` with every fault. */
export function readMeshSettings (file: string, environment: NodeJS.ProcessEnv = process.env): IMeshSettings {
  return applyMemory(parseMeshSettings(file, readFileSync(file, 'utf8')), environment[MEMORY_VARIABLE])
}

/** Replaces the memory in the settings by a valid one of the environment. */
export function applyMemory (settings: IMeshSettings, text: string | undefined): IMeshSettings {
  const parsed = parseNumber(text ?? '', MEMORY_BOUNDS)
  return parsed.isValid ? Object.freeze({ ...settings, mesh: { ...settings.mesh, memory: parsed.value } }) : settings
}

/** Parses and validates `text`. `file` is the file name in error messages. */
export function parseMeshSettings (file: string, text: string): IMeshSettings {
  const reader = new IniSectionReader(text)
  for (const name of reader.names) {
    if (!SECTIONS.includes(name)) reader.addFault(name, '', `unknown section; expected ${SECTIONS.map((section) => `[${section}]`).join(', ')}`)
  }
  const mesh = reader.required('mesh', MESH_SECTION)
  const store = reader.required('store', STORE_SECTION)
  const bounds = reader.optional('bounds', BOUNDS_SECTION)
  const log = reader.optional('log', LOG_SECTION)
  if (mesh === undefined || store === undefined || bounds === undefined || log === undefined || reader.faults.length > 0) {
    throw new SettingsError(file, reader.faults)
  }
  return Object.freeze({ mesh, store, bounds, log })
}
