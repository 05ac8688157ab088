/** A row of another build: an unknown or malformed crash report must cost only itself, never the endpoint in the same row. */
import { expect } from 'chai'
import { nodeOf } from '../../../testing/mesh/NodeRows.js'
import type { NodeName } from '../Types.js'
import { decodeNodeRow, encodeNodeRow } from './NodeRowCodec.js'

const NAME = 'n' as NodeName
const FINGERPRINT = 'f'.repeat(24)
const KNOWN = `${'a'.repeat(16)}:${FINGERPRINT}:process`
const CLEARED = 'c'.repeat(16)
const REPORTS: Readonly<Record<string, unknown>> = {
  'of this build': { crashes: [KNOWN], cleared: [CLEARED] },
  'with a crash of an unknown kind': { crashes: [`${'b'.repeat(16)}:${FINGERPRINT}:kernel`, KNOWN], cleared: [CLEARED] },
  'with more parts in a crash': { crashes: [`${KNOWN}:later`], cleared: [] },
  'with malformed entries': { crashes: [7, null, 'x', KNOWN], cleared: ['short', {}, CLEARED] },
  'with a further list': { crashes: [KNOWN], cleared: [CLEARED], later: [1] },
  'without a list': { crashes: [KNOWN] },
  'with more entries than this build publishes': { crashes: Array.from({ length: 40 }, () => KNOWN), cleared: [] },
  'with far too many entries': { crashes: Array.from({ length: 2_000 }, () => KNOWN), cleared: [] },
  'that is a text': 'crashed',
  'that is null': null
}

describe('The row of a node with a crash report', () => {
  for (const [description, crashReport] of Object.entries(REPORTS)) {
    it(`${description} keeps the endpoint and the known entries`, () => {
      const endpoint = { id: 'e', bornAt: 1, service: 's', address: '10.0.0.1:3', slots: 4, phase: 'serving', warmUpLeft: 0 }
      const text = JSON.stringify({ ...JSON.parse(encodeNodeRow(nodeOf(NAME))), endpoint, crashReport })
      const { row, ignoredCrashes } = decodeNodeRow(text, NAME)
      const { crashes, cleared } = row.crashReport ?? {}
      expect({ endpoint: row.endpoint?.id, crashes: crashes?.length, cleared: cleared?.length, ignoredCrashes }).toMatchSnapshot()
    })
  }
})
