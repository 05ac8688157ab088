/** The page docs/SETTINGS.md. */
import { writeReferenceSections, type IReferenceSection } from '../common/ReferencePage.js'
import { BOUNDS_SECTION, MESH_SECTION, STORE_SECTION } from '../mesh/daemon/MeshSettings.js'
import {
  LIMITS_SECTION, LOG_SECTION, NODE_SECTION, PEERS_SECTION, PLATFORM_SECTION, TLS_SECTION, UPSTREAM_SECTION
} from '../daemon/settings/SettingsSchema.js'

const SECTIONS: readonly IReferenceSection[] = Object.freeze([
  { heading: '[node]', description: 'Location and ports of the process. Required.', schema: NODE_SECTION },
  { heading: '[upstream.ENDPOINT]', description: 'One upstream on this VM; the part after the dot is the name of its endpoint. One section for each upstream.', schema: UPSTREAM_SECTION },
  { heading: '[platform]', description: 'Table service and object store. Required.', schema: PLATFORM_SECTION },
  { heading: '[peers]', description: 'Addresses of other nodes, used to start while the store is unavailable.', schema: PEERS_SECTION },
  { heading: '[tls]', description: 'Certificates and keys for connections to nodes and operators, see docs/OPERATIONS.md. Required.', schema: TLS_SECTION },
  { heading: '[log]', description: 'The log, written to standard error.', schema: LOG_SECTION },
  { heading: '[limits]', description: 'Limits on joins, connections and requests of other processes.', schema: LIMITS_SECTION }
])

const MESH_SECTIONS: readonly IReferenceSection[] = Object.freeze([
  { heading: '[mesh]', description: 'Location and ports of the node. Required.', schema: MESH_SECTION },
  { heading: '[store]', description: 'Connection to the platform\'s store. Required.', schema: STORE_SECTION },
  { heading: '[bounds]', description: 'Limits that the deployment requires.', schema: BOUNDS_SECTION },
  { heading: '[log]', description: 'The log, written to standard output.', schema: LOG_SECTION }
])

/** Generates the page as Markdown. */
export function writeSettingsPage (): string {
  return `# Settings

<!-- Generated from src/daemon/settings/SettingsSchema.ts by \`npm run docs\`. -->

\`savoryknotd --settings FILE\` reads one INI file. \`savoryknotd --settings FILE --check\` only checks it: exit code 0, or 2 with
every fault listed by file, section and key. An unknown section or key, a wrong unit and a missing value are refused.
\`examples/tsagaan/node.ini\` and \`examples/lakeshore/node.ini\` are complete files.

${writeReferenceSections(SECTIONS)}
# Settings of a node of the mesh

A file with a \`[mesh]\` section makes the process a node of the mesh (docs/design/platform.md). After SIGHUP the file is
read again; changes of the service and of the time for a stop take effect immediately, changes of ports and bounds at the next start.
\`deploy/node.ini\` is the template from which the platform renders such a file.

${writeReferenceSections(MESH_SECTIONS)}`
}
