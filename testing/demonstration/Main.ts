/** The demonstration: `npm start` runs a deployment on this machine until Ctrl-C; `npm start -- --once` exits after the last step. */
import { readFileSync } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { cac } from 'cac'
import { onToolRun } from './ControlTool.js'
import { Deployment } from './Deployment.js'
import { StepTable } from './StepTable.js'
import { runRefusals } from './Refusals.js'
import { runSteps } from './Steps.js'
import { Transcript } from './Transcript.js'

const BYTES_PER_MEBIBYTE = 1_048_576
const BYTES_PER_PAGE = 4_096

/** Resident memory of a process in MiB; `unknown` where /proc is not available. */
function residentMebibytes (processId: number): string {
  try {
    const pages = Number(readFileSync(`/proc/${processId}/statm`, 'utf8').split(' ')[1])
    return `${Math.round(pages * BYTES_PER_PAGE / BYTES_PER_MEBIBYTE)} MiB`
  } catch {
    return 'unknown'
  }
}

/** Commands to try in another terminal. */
function suggestions (deployment: Deployment): string {
  const [first] = deployment.nodes
  if (first === undefined) return ''
  return [
    '', 'Serving until Ctrl-C. Try from another terminal:',
    `  npx savoryknotctl status --node ${first.operatorAddress}`,
    `  npx savoryknotctl endpoints --node ${first.operatorAddress}`,
    `  npx savoryknotctl history status --node ${first.operatorAddress}`,
    `  npx savoryknotctl burn --node ${first.operatorAddress}`,
    `  curl -H 'savoryknot-service: status' ${first.callerUrl}/status/7`,
    `  curl -H 'savoryknot-service: fees' -H 'idempotency-key: 1' -d '{}' ${first.callerUrl}/payments`,
    `  curl http://127.0.0.1:${first.plan.metricsPort}/metrics`, ''
  ].join('\n')
}

async function main (): Promise<number> {
  const parser = cac('npm start --')
  parser.option('--once', 'Exit after the last step')
  parser.option('--keys', 'Enable certificates and show refusals')
  parser.option('--transcript <file>', 'Write the commands of savoryknotctl and their output to a file')
  parser.help()
  const { options } = parser.parse()
  if (options.help === true) return 0
  const transcript = new Transcript(`npm start -- ${process.argv.slice(2).join(' ')}`)
  onToolRun((run) => transcript.add(run))
  const deployment = new Deployment(options.keys === true)
  const table = new StepTable()
  try {
    await runSteps(deployment, table)
    if (options.keys === true) await runRefusals(deployment, table)
    const memory = deployment.nodes.map((node) => residentMebibytes(node.processId)).join(', ')
    process.stdout.write(`\n${table.format()}\n\nresident memory of the nodes: ${memory}\n`)
    if (options.transcript !== undefined) await writeFile(String(options.transcript), transcript.format())
    if (options.once !== true && table.haveAllPassed) {
      process.stdout.write(suggestions(deployment))
      await new Promise((resolve) => process.once('SIGINT', resolve))
    }
  } finally {
    await deployment.stop()
  }
  return table.haveAllPassed ? 0 : 1
}

process.exit(await main())
