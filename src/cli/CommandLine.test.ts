/** Exit codes and outputs of the command-line tool, with a fake node and with an unreachable node. */
import { expect } from 'chai'
import { credentials } from '@grpc/grpc-js'
import { mkdtemp, writeFile, readFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { DocumentParser } from '../documents/DocumentParser.js'
import { ManualClock, settlePromises } from '../../testing/ManualClock.js'
import { changeOf, FakeOperatorClient } from '../../testing/cli/FakeOperatorClient.js'
import { CommandLine } from './CommandLine.js'
import { createCommands } from './Commands.js'
import { OperatorClient } from './OperatorClient.js'
import type { ReceivedStatusReply } from '../generated/savoryknot/StatusReply.js'

const DOCUMENT = 'examples/tsagaan/status.ini'

/** Runs the command-line tool and records its output. */
class ToolRun {
  public readonly client = new FakeOperatorClient()
  public readonly clock = new ManualClock()
  public printed: string[] = []

  public async run (line: string): Promise<number> {
    const record = (text: string): void => { this.printed.push(text) }
    const commandLine = new CommandLine({
      commands: createCommands({ parser: new DocumentParser(), clock: this.clock }),
      output: { isTerminal: false, line: record, error: record, progress: () => {} },
      connect: () => this.client,
      environment: {}
    })
    return commandLine.run(line.split(' '))
  }
}

/** Status of a version that is in force in one failure domain; a second failure domain has the given state. */
function statusOf (members: number, isHeard: boolean): ReceivedStatusReply {
  const domain = { rejections: [], silenceMs: 32_000, members: 3, isHeard: true, failureDomain: 'darkhan-1', versions: [{ version: 2, members: 3 }] }
  const other = { ...domain, failureDomain: 'darkhan-2', isHeard, versions: [{ version: 2, members }] }
  const isInForceEverywhere = isHeard && members === 3
  return {
    isConfirmedByStore: true,
    services: [{ service: 'status', acceptedVersion: 2, isTombstone: false, isInForceEverywhere, domains: [domain, other] }]
  }
}

/** Status in which one failure domain has never sent a report. */
function statusWithoutReport (): ReceivedStatusReply {
  const reply = statusOf(0, false)
  const domains = reply.services[0]?.domains.map((domain) => ({ ...domain, silenceMs: 0 })) ?? []
  return { ...reply, services: reply.services.map((service) => ({ ...service, domains })) }
}

describe('CommandLine', () => {
  it('prints the outcome of a submission and returns its exit code', async () => {
    const tool = new ToolRun()
    const codes = [await tool.run(`submit ${DOCUMENT} --expect new --author altan`)]
    tool.client.submitReply = { kind: 'accepted', change: changeOf(2), isRepeat: true, faults: [], message: '' }
    codes.push(await tool.run(`submit ${DOCUMENT} --expect 1 --author altan`))
    tool.client.submitReply = { kind: 'conflict', change: changeOf(3), isRepeat: false, faults: [], message: '' }
    codes.push(await tool.run(`submit ${DOCUMENT} --expect 2`))
    const faults = [{ section: 'route.a', key: 'target', message: 'fees/endpoints is not exported' }]
    tool.client.submitReply = { kind: 'invalid', change: null, isRepeat: false, faults, message: '' }
    codes.push(await tool.run(`submit ${DOCUMENT} --expect 3`))
    tool.client.submitReply = { kind: 'forbidden', change: null, isRepeat: false, faults: [], message: 'owned by team permits' }
    codes.push(await tool.run('delete status --expect 3'))
    expect({ codes, printed: tool.printed }).toMatchSnapshot()
  })

  it('gives a retry the id of the first submission, and different content a different id', async () => {
    const tool = new ToolRun()
    const folder = await mkdtemp(join(tmpdir(), 'savoryknot-'))
    const other = join(folder, 'status.ini')
    await writeFile(other, (await readFile(DOCUMENT, 'utf8')).replace('800 ms', '700 ms'))
    for (const line of [`submit ${DOCUMENT} --expect 1`, `submit ${DOCUMENT} --expect 1`, `submit ${DOCUMENT} --expect 2`, `submit ${other} --expect 1`]) {
      await tool.run(line)
    }
    const ids = tool.client.submissions.map((submission) => submission.submissionId)
    expect(new Set(ids).size).to.equal(3)
    expect(ids[0]).to.equal(ids[1])
  })

  it('waits until a version is in force, and returns code 5 if a failure domain sends no reports', async () => {
    const tool = new ToolRun()
    tool.client.statusReplies = [statusOf(1, true), statusOf(2, true), statusOf(3, true)]
    const inForce = tool.run('status status --wait 5')
    await settlePromises()
    await tool.clock.advance(1_000)
    const codes = [await inForce]
    tool.client.statusReplies = [statusOf(3, false)]
    const withoutReports = tool.run('status status --wait 2')
    await settlePromises()
    await tool.clock.advance(3_000)
    codes.push(await withoutReports)
    tool.client.statusReplies = [statusWithoutReport()]
    codes.push(await tool.run('status status'))
    expect({ codes, printed: tool.printed }).toMatchSnapshot()
  })

  it('prints the replies of a node to commands that only read', async () => {
    const tool = new ToolRun()
    tool.client.texts = ['[service]\nname = status\ndeadline = 1 s\n', '[service]\nname = status\ndeadline = 2 s\n']
    const lines = ['show status', 'show status --version 1', 'history status', 'diff status 1 2', 'endpoints', 'burn', 'nodes', 'history status --json', 'help submit', 'completion']
    const codes: number[] = []
    for (const line of lines) codes.push(await tool.run(line))
    expect({ codes, printed: tool.printed }).toMatchSnapshot()
  })

  it('returns code 2 and prints the reason for an invalid command line', async () => {
    const tool = new ToolRun()
    const lines = [
      'frobnicate', 'show', 'show Status', 'show status --version 0', 'diff status 1 x', 'submit missing.ini --expect new',
      `submit ${DOCUMENT}`, `submit ${DOCUMENT} --expect newest`, 'delete status --expect new', 'nodes --colour', 'check missing.ini', 'show status --version 9'
    ]
    const codes: number[] = []
    for (const line of lines) codes.push(await tool.run(line))
    expect({ codes, printed: tool.printed }).toMatchSnapshot()
  })

  it('returns code 4 when the node cannot be reached', async () => {
    const printed: string[] = []
    const record = (text: string): void => { printed.push(text) }
    const commandLine = new CommandLine({
      commands: createCommands({ parser: new DocumentParser(), clock: new ManualClock() }),
      output: { isTerminal: false, line: record, error: record, progress: () => {} },
      connect: () => new OperatorClient({ node: '127.0.0.1:1', credentials: credentials.createInsecure() }),
      environment: {}
    })
    expect(await commandLine.run(['nodes'])).to.equal(4)
    expect(printed.join()).to.contain('node 127.0.0.1:1')
  })
})
