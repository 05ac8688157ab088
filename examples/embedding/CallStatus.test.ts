/** Runs the example against a node with a stand-in for the upstream. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { EmbeddedObjectStore } from '../../src/platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../../src/platform/EmbeddedTableService.js'
import { freeAddress, GateNode } from '../../testing/GateNode.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { UpstreamStandIn } from '../../testing/upstream/UpstreamStandIn.js'
import { callStatus } from './CallStatus.js'

describe('examples/embedding', () => {
  it('calls a remote gate from its own process, and reports `not-run` if there is no endpoint', async () => {
    const table = new EmbeddedTableService()
    const objects = new EmbeddedObjectStore()
    const upstream = new UpstreamStandIn({ service: 'status' })
    await upstream.start()
    const node = new GateNode({ table, objects, service: 'status', upstream: upstream.address })
    const peer = await node.start()
    expect(await node.submit(readFileSync(new URL('../tsagaan/status.ini', import.meta.url), 'utf8'))).to.equal('accepted')
    const options = { failureDomain: 'north', region: 'east', peerAddress: await freeAddress(), peers: [peer], table, objects, log: new RecordingLog() }
    try {
      const response = await callStatus(options, 'a 1')
      expect(response).to.match(/^200: /)
      expect(JSON.parse(response.slice('200: '.length))).to.include({ service: 'status', method: 'GET', path: '/status/a%201' })
    } finally {
      await node.stop()
      upstream.kill()
    }
    expect(await callStatus({ ...options, joinTimeoutMs: 0 }, 'a 1')).to.equal('not-run: no-endpoint')
  }).timeout(30_000)
})
