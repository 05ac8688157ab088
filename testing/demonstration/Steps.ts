/** The steps of the demonstration. */
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
/** Time within which an accepted configuration becomes active on all nodes, in seconds. */
const ACTIVATION_TIMEOUT_SECONDS = '5'

/** Runs every step. */
export async function runSteps (deployment: Deployment, table: StepTable): Promise<void> {
  await table.run('six nodes start and become ready', async () => `the slowest was ready after ${await deployment.start()} ms`)
  if (!table.haveAllPassed) return
  for (const { service, owner } of SERVICES) {
    deployment.actAs(owner)
    await table.run(`submit ${service}`, () => submitNew(deployment, service))
  }
  deployment.actAs('permits')
  await table.run('all documents active on all nodes', () => waitUntilActive(deployment))
  await table.run('calls through every node', () => callEveryNode(deployment))
  await table.run('a payment that is sent twice is executed once', () => payWithSameKey(deployment))
  await table.run('one document is changed', () => changeStatus(deployment))
  await table.run('the change active on all nodes', () => waitUntilActive(deployment, 'status'))
  await table.run('a stale submission is refused as a conflict', () => submitStale(deployment))
  await table.run('an invalid document is refused', () => submitInvalid(deployment))
  await table.run('a node stops without interrupting a call', () => stopUnderLoad(deployment))
  await table.run('all read commands succeed', () => runReadCommands(deployment))
  await table.run('the stopped node restarts and becomes ready', () => restart(deployment))
}

/** Operator address of the node at this index. */
function operatorAddressOf (deployment: Deployment, index: number): string {
  return deployment.nodes[index]?.operatorAddress ?? ''
}

function requireExit (result: IToolResult, exitCode: number): string {
  requireThat(result.exitCode === exitCode, `exit code ${result.exitCode} instead of ${exitCode}: ${result.output}`)
  return result.output
}

/** Submits an example document that is new. */
export async function submitNew (deployment: Deployment, service: string): Promise<string> {
  const args = ['submit', join(EXAMPLES, `${service}.ini`), '--expect', 'new', '--author', 'demonstration']
  return requireExit(await runTool(operatorAddressOf(deployment, 0), args), 0)
}

async function waitUntilActive (deployment: Deployment, service?: string): Promise<string> {
  const args = ['status', ...(service === undefined ? [] : [service]), '--wait', ACTIVATION_TIMEOUT_SECONDS]
  const startedAt = Date.now()
  const output = requireExit(await runTool(operatorAddressOf(deployment, 5), args), 0)
  return `seen after ${Date.now() - startedAt} ms with savoryknotctl; ${output.split('\n')[0]}`
}

async function callEveryNode (deployment: Deployment): Promise<string> {
  let responseCount = 0
  for (const node of deployment.nodes) {
    for (let number = 0; number < CALLS_PER_NODE; number++) {
      const result = await call(node.callerUrl, 'status', 'GET', `/status/${number}`)
      requireThat(result.status === 200, `${node.plan.name} responded with ${result.status} ${result.outcome} ${result.body}`)
      responseCount++
    }
  }
  return `${responseCount} of ${responseCount} calls got status 200`
}

async function payWithSameKey (deployment: Deployment): Promise<string> {
  const key = `payment-${Date.now()}`
  const nodes = deployment.nodes.slice(1, 3)
  const results = await Promise.all(nodes.map((node) => call(node.callerUrl, 'fees', 'POST', '/payments', key)))
  const retried = await call(deployment.nodes[3]?.callerUrl ?? '', 'fees', 'POST', '/payments', key)
  const executions = deployment.executionsOf(key)
  requireThat(executions === 1, `the payment was executed ${executions} times`)
  requireThat(retried.status === 200, `the retry got status ${retried.status} ${retried.body}`)
  return `two concurrent requests: ${results.map((result) => result.status).join(' and ')}; a retry: ${retried.status}; executions: ${executions}`
}

async function changeStatus (deployment: Deployment): Promise<string> {
  const file = join(tmpdir(), `savoryknot-status-${process.pid}.ini`)
  await writeFile(file, (await readFile(join(EXAMPLES, 'status.ini'), 'utf8')).replace('deadline = 800 ms', 'deadline = 700 ms'))
  return requireExit(await runTool(operatorAddressOf(deployment, 2), ['submit', file, '--expect', '1', '--author', 'demonstration']), 0)
}

async function submitStale (deployment: Deployment): Promise<string> {
  const args = ['submit', join(EXAMPLES, 'status.ini'), '--expect', '1', '--author', 'late']
  return requireExit(await runTool(operatorAddressOf(deployment, 3), args), 3)
}

async function submitInvalid (deployment: Deployment): Promise<string> {
  const file = join(tmpdir(), `savoryknot-invalid-${process.pid}.ini`)
  await writeFile(file, (await readFile(join(EXAMPLES, 'status.ini'), 'utf8')).replace('deadline = 800 ms', 'deadline = 800'))
  return requireExit(await runTool(operatorAddressOf(deployment, 3), ['submit', file, '--expect', '2']), 2)
}

/** Stops a node while calls continue at another node, whose router knows the endpoints of the stopping node. */
async function stopUnderLoad (deployment: Deployment): Promise<string> {
  const [first, second] = deployment.nodes
  requireThat(first !== undefined && second !== undefined, 'two nodes are needed')
  const progress = { isStopped: false }
  const stopping = second.stop().finally(() => { progress.isStopped = true })
  let responseCount = 0
  while (!progress.isStopped) {
    const result = await call(first.callerUrl, 'status', 'GET', `/status/${responseCount}`)
    requireThat(result.status === 200, `got status ${result.status} ${result.outcome} ${result.body}`)
    responseCount++
    await new Promise((resolve) => setTimeout(resolve, CALL_INTERVAL_MS))
  }
  const code = await stopping
  requireThat(code === 0, `exit code ${code}`)
  return `exit code 0 after ${responseCount} calls, all with status 200`
}

/** Runs the read commands at a running node while another node is stopped. */
async function runReadCommands (deployment: Deployment): Promise<string> {
  const commands = [['status', 'status'], ['endpoints', 'status'], ['nodes'], ['history', 'status'], ['diff', 'status', '1', '2'], ['burn', 'status']]
  for (const args of commands) requireExit(await runTool(operatorAddressOf(deployment, 0), args), 0)
  return `${commands.length} commands ended with exit code 0`
}

async function restart (deployment: Deployment): Promise<string> {
  const readyAfter = await deployment.nodes[1]?.startUntilReady()
  const result = await call(deployment.nodes[1]?.callerUrl ?? '', 'status', 'GET', '/status/1')
  requireThat(result.status === 200, `got status ${result.status} ${result.body}`)
  return `ready after ${readyAfter} ms, accepts calls`
}
