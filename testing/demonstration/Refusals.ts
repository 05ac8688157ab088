/** Submissions that are refused if certificates are enabled. */
import { join } from 'node:path'
import { runTool, useOperatorKeys } from './ControlTool.js'
import type { Deployment } from './Deployment.js'
import { REPOSITORY } from './Repository.js'
import { requireThat, type StepTable } from './StepTable.js'

const REFUSED = 2
const UNREACHABLE = 4

/** An operator whose submission must be refused: the keys and the expected exit code. */
interface IUnauthorizedOperator {
  readonly name: string
  readonly folder: string
  readonly keys: string
  readonly exitCode: number
}

/** Submits a change of the status document with keys that do not permit it. */
export async function runRefusals (deployment: Deployment, table: StepTable): Promise<void> {
  const { keyFolder } = deployment
  const operators: readonly IUnauthorizedOperator[] = [
    { name: 'another team', folder: keyFolder, keys: 'treasury', exitCode: REFUSED },
    { name: 'a node certificate', folder: keyFolder, keys: 'node-1', exitCode: REFUSED },
    { name: 'a foreign authority', folder: `${keyFolder}-foreign`, keys: 'permits', exitCode: UNREACHABLE },
    { name: 'missing key files', folder: keyFolder, keys: 'nobody', exitCode: REFUSED }
  ]
  for (const operator of operators) await table.run(`refused: ${operator.name}`, () => expectRefusal(deployment, operator))
  deployment.actAs('permits')
}

async function expectRefusal (deployment: Deployment, operator: IUnauthorizedOperator): Promise<string> {
  useOperatorKeys(operator.folder, operator.keys)
  const node = deployment.nodes[0]?.operatorAddress ?? ''
  const result = await runTool(node, ['submit', join(REPOSITORY, 'examples/tsagaan/status.ini'), '--expect', '2', '--author', 'intruder'])
  requireThat(result.exitCode === operator.exitCode, `exit code ${result.exitCode}: ${result.output}`)
  return result.output
}
