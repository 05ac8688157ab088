/** Who is refused where certificates are on. */
import { join } from 'node:path'
import { runTool, useOperatorKeys } from './ControlTool.js'
import type { Deployment } from './Deployment.js'
import { REPOSITORY } from './Repository.js'
import { requireThat, type StepTable } from './StepTable.js'

const REFUSED = 2
const UNREACHABLE = 4

/** One who should be refused: whose keys, and with which exit code. */
interface IIntruder {
  readonly name: string
  readonly folder: string
  readonly keys: string
  readonly exitCode: number
}

/** Submits a change of the status document with keys that do not allow it. */
export async function runRefusals (deployment: Deployment, table: StepTable): Promise<void> {
  const { keyFolder } = deployment
  const intruders: readonly IIntruder[] = [
    { name: 'another team', folder: keyFolder, keys: 'treasury', exitCode: REFUSED },
    { name: 'a node certificate', folder: keyFolder, keys: 'node-1', exitCode: REFUSED },
    { name: 'a foreign authority', folder: `${keyFolder}-foreign`, keys: 'permits', exitCode: UNREACHABLE },
    { name: 'missing key files', folder: keyFolder, keys: 'nobody', exitCode: REFUSED }
  ]
  for (const intruder of intruders) await table.run(`refused: ${intruder.name}`, () => refuse(deployment, intruder))
  deployment.actAs('permits')
}

async function refuse (deployment: Deployment, intruder: IIntruder): Promise<string> {
  useOperatorKeys(intruder.folder, intruder.keys)
  const node = deployment.nodes[0]?.operatorAddress ?? ''
  const result = await runTool(node, ['submit', join(REPOSITORY, 'examples/tsagaan/status.ini'), '--expect', '2', '--author', 'intruder'])
  requireThat(result.exitCode === intruder.exitCode, `exit code ${result.exitCode}: ${result.output}`)
  return result.output
}
