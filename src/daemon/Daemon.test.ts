/** Complete nodes with certificates: calls between nodes, refusals at the gate port, a reload of keys, a graceful stop. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { request as plainRequest } from 'node:http'
import { request as secureRequest, type RequestOptions } from 'node:https'
import { createSubmissionId } from '../common/Ids.js'
import type { TeamName, Timestamp } from '../common/Types.js'
import { createCredentials } from '../cli/Credentials.js'
import { OperatorClient } from '../cli/OperatorClient.js'
import { call } from '../../testing/demonstration/Caller.js'
import { DaemonRig, type IStartedNode } from '../../testing/daemon/DaemonRig.js'
import { TestKeys } from '../../testing/daemon/TestKeys.js'
import type { IKeyFileNames } from './keys/KeyFiles.js'
import { splitAddress } from '../common/HostPort.js'

const HELP_PATTERN = /^# HELP (savoryknot_\S+) (.+)$/gm
/** Suffix of a metric name that states its unit. `total` counts the items in the name. */
const UNIT_PATTERN = /_(?:bytes|seconds|milliseconds|percent|total|ratio)(?:_total)?$/
const DOCUMENT = readFileSync('examples/tsagaan/status.ini', 'utf8')

/** Status of one request to the gate port, or `refused` if the connection was refused. */
function requestGate (node: IStartedNode, options: RequestOptions, isSecure: boolean): Promise<string> {
  const { host, port } = splitAddress(node.settings.node['gate-address'])
  const send = isSecure ? secureRequest : plainRequest
  return new Promise((resolve) => {
    const request = send({ ...options, host, port, path: '/status/1', checkServerIdentity: () => undefined }, (response) => {
      response.resume()
      resolve(String(response.statusCode))
    })
    request.on('error', () => resolve('refused'))
    request.end()
  })
}

function tlsOptionsOf (files: IKeyFileNames): RequestOptions {
  return { ca: readFileSync(files.authority), cert: readFileSync(files.certificate), key: readFileSync(files.key) }
}

describe('Daemon with keys', () => {
  const rig = new DaemonRig()
  let keys: TestKeys
  let operator: IKeyFileNames
  let first: IStartedNode
  let second: IStartedNode

  before(async () => {
    keys = await TestKeys.create(Date.now() as Timestamp)
    operator = await keys.issue('operator', { kind: 'operator', team: 'permits' as TeamName })
    await rig.start()
    const locations = [{ failureDomain: 'darkhan-1', region: 'darkhan' }, { failureDomain: 'darkhan-2', region: 'darkhan' }] as const
    first = await rig.startNode({ ...locations[0], services: [], keys: await keys.issue('n1', { kind: 'node' }) })
    second = await rig.startNode({ ...locations[1], services: ['status'], keys: await keys.issue('n2', { kind: 'node' }) })
  })

  after(() => rig.stop())

  it('forwards a call from one node to the gate of another, also after both have reloaded new keys', async () => {
    const node = first.settings.node['operator-address']
    const client = new OperatorClient({ node, credentials: createCredentials({ ...operator, node, json: false }) })
    const reply = await client.submit({ submissionId: createSubmissionId(), service: 'status', text: DOCUMENT, author: 'test' })
    client.close()
    expect(reply.kind).to.equal('accepted')
    expect(await callUntilSuccess(first)).to.equal(200)
    await keys.issue('n1', { kind: 'node' })
    await keys.issue('n2', { kind: 'node' })
    first.daemon.reloadKeys()
    second.daemon.reloadKeys()
    expect((await call(first.callerUrl, 'status', 'GET', '/status/2')).status).to.equal(200)
  })

  it('gives every metric a help text and a unit', async () => {
    const text = await (await fetch(`http://${first.settings.node['metrics-address']}/metrics`)).text()
    const metrics = [...text.matchAll(HELP_PATTERN)].map((match) => ({ name: match[1] ?? '', help: match[2] ?? '' }))
    expect(metrics.length).to.be.greaterThan(20)
    expect(metrics.filter(({ name, help }) => !UNIT_PATTERN.test(name) && !help.includes('Unit:'))).to.deep.equal([])
  })

  it('refuses connections to the gate port without a valid node certificate', async () => {
    const foreign = await (await TestKeys.create(Date.now() as Timestamp)).issue('n3', { kind: 'node' })
    const started = second.upstreams[0]?.started
    const results = {
      plaintext: await requestGate(second, {}, false),
      noCertificate: await requestGate(second, { ca: readFileSync(operator.authority) }, true),
      operator: await requestGate(second, tlsOptionsOf(operator), true),
      wrongAuthority: await requestGate(second, { ...tlsOptionsOf(foreign), ca: readFileSync(operator.authority) }, true)
    }
    expect(results).toMatchSnapshot()
    expect(second.upstreams[0]?.started).to.equal(started)
  })
})

/** Sends requests until the document has reached both nodes; returns the last status. */
async function callUntilSuccess (node: IStartedNode): Promise<number> {
  let status = 0
  for (let attempt = 0; attempt < 100 && status !== 200; attempt++) {
    status = (await call(node.callerUrl, 'status', 'GET', '/status/1')).status
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  return status
}
