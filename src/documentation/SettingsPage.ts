/** The page docs/SETTINGS.md. */
import { writeReferenceSections, type IReferenceSection } from '../common/ReferencePage.js'
import { BOUNDS_SECTION, MESH_SECTION, STORE_SECTION } from '../mesh/daemon/MeshSettings.js'
import {
  LIMITS_SECTION, LOG_SECTION, NODE_SECTION, PEERS_SECTION, PLATFORM_SECTION, TLS_SECTION, UPSTREAM_SECTION
} from '../daemon/settings/SettingsSchema.js'

const SECTIONS: readonly IReferenceSection[] = Object.freeze([
  { heading: '[node]', description: 'Where the process runs and its ports. Required.', schema: NODE_SECTION },
  { heading: '[upstream.ENDPOINT]', description: 'One upstream on this VM; the name after the dot is the endpoint\'s. One section each.', schema: UPSTREAM_SECTION },
  { heading: '[platform]', description: 'Table service and object store. Required.', schema: PLATFORM_SECTION },
  { heading: '[peers]', description: 'Other nodes, for a start while the store is down.', schema: PEERS_SECTION },
  { heading: '[tls]', description: 'Keys towards nodes and operators, see docs/OPERATIONS.md. Required.', schema: TLS_SECTION },
  { heading: '[log]', description: 'The log, which goes to standard error.', schema: LOG_SECTION },
  { heading: '[limits]', description: 'Bounds on what others may ask of this process.', schema: LIMITS_SECTION }
])

const MESH_SECTIONS: readonly IReferenceSection[] = Object.freeze([
  { heading: '[mesh]', description: 'Where the node runs and its ports. Required.', schema: MESH_SECTION },
  { heading: '[store]', description: 'The platform\'s store. Required.', schema: STORE_SECTION },
  { heading: '[bounds]', description: 'What the deployment demands.', schema: BOUNDS_SECTION },
  { heading: '[log]', description: 'The log, which goes to standard output.', schema: LOG_SECTION }
])

/** The page as Markdown. */
export function writeSettingsPage (): string {
  return `# Settings

<!-- Made from src/daemon/settings/SettingsSchema.ts by \`npm run docs\`. -->

\`savoryknotd --settings FILE\` reads one INI file. \`savoryknotd --settings FILE --check\` only checks it: exit code 0, or 2 with
every fault listed by file, section and key. An unknown section or key, a wrong unit and a missing value are refused.
\`examples/tsagaan/node.ini\` and \`examples/lakeshore/node.ini\` are complete files.

${writeReferenceSections(SECTIONS)}
# Settings of a node of the mesh

A file with a \`[mesh]\` section makes the process a node of the mesh (docs/design/platform.md). After SIGHUP the file is
read again; the service and the time for a stop take effect at once, ports and bounds with the next start.
\`deploy/node.ini\` renders such a file from the platform's values.

${writeReferenceSections(MESH_SECTIONS)}`
}
