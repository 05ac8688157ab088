/** What the demonstration shows, step by step. */
import { readFile, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { call } from './Caller.js'
import { runTool, type IToolResult } from './ControlTool.js'
import { SERVICES, type Deployment } from './Deployment.js'
import { REPOSITORY } from './Repository.js'
import { requireThat, type StepTable } from './StepTable.js'

const EXAMPLES = join(REPOSITORY, 'examples', 'tsagaan')
const CALLS_PER_NODE = 20
const CALL_INTERVAL_MS = 10
/** An accepted configuration is in force everywhere within seconds. */
const IN_FORCE_SECONDS = '5'

/** Runs every step. */
export async function runSteps (deployment: Deployment, table: StepTable): Promise<void> {
  await table.run('six nodes start and catch up', async () => `the slowest was ready after ${await deployment.start()} ms`)
  if (!table.allHold) return
  for (const { service, owner } of SERVICES) {
    deployment.actAs(owner)
    await table.run(`submit ${service}`, () => submitNew(deployment, service))
  }
  deployment.actAs('permits')
  await table.run('all documents in force everywhere', () => waitInForce(deployment))
  await table.run('calls at every node', () => callEverywhere(deployment))
  await table.run('a payment that is sent twice runs once', () => payTwice(deployment))
  await table.run('one document changed', () => changeStatus(deployment))
  await table.run('the change in force everywhere', () => waitInForce(deployment, 'status'))
  await table.run('a stale submission is a conflict', () => submitStale(deployment))
  await table.run('an invalid document is refused', () => submitInvalid(deployment))
  await table.run('a node stops without cutting off a call', () => stopUnderLoad(deployment))
  await table.run('the reading commands', () => readEverything(deployment))
  await table.run('it returns and catches up', () => restart(deployment))
}

/** Operator port of the node that is asked. */
function operatorOf (deployment: Deployment, index: number): string {
  return deployment.nodes[index]?.operatorAddress ?? ''
}

function requireExit (result: IToolResult, exitCode: number): string {
  requireThat(result.exitCode === exitCode, `exit code ${result.exitCode} in place of ${exitCode}: ${result.output}`)
  return result.output
}

/** Submits an example document that is new. */
export async function submitNew (deployment: Deployment, service: string): Promise<string> {
  const words = ['submit', join(EXAMPLES, `${service}.ini`), '--expect', 'new', '--author', 'demonstration']
  return requireExit(await runTool(operatorOf(deployment, 0), words), 0)
}

async function waitInForce (deployment: Deployment, service?: string): Promise<string> {
  const words = ['status', ...(service === undefined ? [] : [service]), '--wait', IN_FORCE_SECONDS]
  const startedAt = Date.now()
  const output = requireExit(await runTool(operatorOf(deployment, 5), words), 0)
  return `seen after ${Date.now() - startedAt} ms with savoryknotctl; ${output.split('\n')[0]}`
}

async function callEverywhere (deployment: Deployment): Promise<string> {
  let answered = 0
  for (const node of deployment.nodes) {
    for (let number = 0; number < CALLS_PER_NODE; number++) {
      const result = await call(node.callerUrl, 'status', 'GET', `/status/${number}`)
      requireThat(result.status === 200, `${node.plan.name} answered ${result.status} ${result.outcome} ${result.body}`)
      answered++
    }
  }
  return `${answered} of ${answered} answered with status 200`
}

async function payTwice (deployment: Deployment): Promise<string> {
  const key = `payment-${Date.now()}`
  const nodes = deployment.nodes.slice(1, 3)
  const results = await Promise.all(nodes.map((node) => call(node.callerUrl, 'fees', 'POST', '/payments', key)))
  const repeated = await call(deployment.nodes[3]?.callerUrl ?? '', 'fees', 'POST', '/payments', key)
  const executions = deployment.executionsOf(key)
  requireThat(executions === 1, `the payment ran ${executions} times`)
  requireThat(repeated.status === 200, `the repeat was answered with ${repeated.status} ${repeated.body}`)
  return `two at once: ${results.map((result) => result.status).join(' and ')}; a repeat: ${repeated.status}; executions: ${executions}`
}

async function changeStatus (deployment: Deployment): Promise<string> {
  const file = join(tmpdir(), `savoryknot-status-${process.pid}.ini`)
  await writeFile(file, (await readFile(join(EXAMPLES, 'status.ini'), 'utf8')).replace('deadline = 800 ms', 'deadline = 700 ms'))
  return requireExit(await runTool(operatorOf(deployment, 2), ['submit', file, '--expect', '1', '--author', 'demonstration']), 0)
}

async function submitStale (deployment: Deployment): Promise<string> {
  const words = ['submit', join(EXAMPLES, 'status.ini'), '--expect', '1', '--author', 'late']
  return requireExit(await runTool(operatorOf(deployment, 3), words), 3)
}

async function submitInvalid (deployment: Deployment): Promise<string> {
  const file = join(tmpdir(), `savoryknot-invalid-${process.pid}.ini`)
  await writeFile(file, (await readFile(join(EXAMPLES, 'status.ini'), 'utf8')).replace('deadline = 800 ms', 'deadline = 800'))
  return requireExit(await runTool(operatorOf(deployment, 3), ['submit', file, '--expect', '2']), 2)
}

/** Calls go on at another node, whose router knows the endpoints of the one that stops. */
async function stopUnderLoad (deployment: Deployment): Promise<string> {
  const [first, second] = deployment.nodes
  requireThat(first !== undefined && second !== undefined, 'two nodes are needed')
  const progress = { isStopped: false }
  const stopping = second.stop().finally(() => { progress.isStopped = true })
  let answered = 0
  while (!progress.isStopped) {
    const result = await call(first.callerUrl, 'status', 'GET', `/status/${answered}`)
    requireThat(result.status === 200, `answered ${result.status} ${result.outcome} ${result.body}`)
    answered++
    await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS))
  }
  const code = await stopping
  requireThat(code === 0, `exit code ${code}`)
  return `exit code 0 after ${answered} calls, all answered`
}

/** While a node is away, as the others see it. */
async function readEverything (deployment: Deployment): Promise<string> {
  const commands = [['status', 'status'], ['endpoints', 'status'], ['nodes'], ['history', 'status'], ['diff', 'status', '1', '2'], ['burn', 'status']]
  for (const words of commands) requireExit(await runTool(operatorOf(deployment, 0), words), 0)
  return `${commands.length} commands ended with exit code 0`
}

async function restart (deployment: Deployment): Promise<string> {
  const readyAfter = await deployment.nodes[1]?.startUntilReady()
  const result = await call(deployment.nodes[1]?.callerUrl ?? '', 'status', 'GET', '/status/1')
  requireThat(result.status === 200, `answered ${result.status} ${result.body}`)
  return `ready after ${readyAfter} ms, answers calls`
}
