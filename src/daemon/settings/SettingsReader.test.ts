/** Accepted settings, and every kind of invalid settings. */
import { expect } from 'chai'
import fc from 'fast-check'
import { SettingsError } from './SettingsError.js'
import { parseSettings } from './SettingsReader.js'

const FILE = 'node.ini'
const VALID = `
[node]
failure-domain = darkhan-1
region = darkhan
caller-address = 127.0.0.1:7400
gate-address = 127.0.0.1:7401
peer-address = 127.0.0.1:7402
operator-address = 127.0.0.1:7403
metrics-address = 127.0.0.1:7404
[upstream.status-3]
service = status
address = 127.0.0.1:9001
[platform]
kind = http
url = http://127.0.0.1:7500
timeout = 500 ms
[peers]
addresses = 127.0.0.1:7502, [::1]:7602
[tls]
mode = off
`

/** Text with one line replaced. */
function withLine (line: string, replacement: string): string {
  expect(VALID).to.contain(line)
  return VALID.replace(line, replacement)
}

/** Message of the `SettingsError`; empty if the settings are valid. */
function refusalOf (text: string): string {
  try {
    parseSettings(FILE, text)
    return ''
  } catch (error) {
    expect(error).to.be.instanceOf(SettingsError)
    return (error as SettingsError).message
  }
}

describe('SettingsReader', () => {
  it('reads settings and fills in defaults', () => {
    expect(parseSettings(FILE, VALID)).toMatchSnapshot()
  })

  const refused: Readonly<Record<string, string>> = {
    'unknown key': withLine('mode = off', 'mode = off\ncipher = any'),
    'unknown section': `${VALID}\n[cluster]\nname = one\n`,
    'wrong unit': withLine('timeout = 500 ms', 'timeout = 500'),
    'missing value': withLine('region = darkhan', 'region ='),
    'missing key': withLine('region = darkhan', ''),
    'missing section': withLine('[tls]\nmode = off', ''),
    'host name in place of an IP address': withLine('caller-address = 127.0.0.1:7400', 'caller-address = localhost:7400'),
    'port out of range': withLine('127.0.0.1:9001', '127.0.0.1:90010'),
    'plaintext beyond loopback': withLine('peer-address = 127.0.0.1:7402', 'peer-address = 10.0.0.7:7402'),
    'plaintext at the operator port': withLine('operator-address = 127.0.0.1:7403', 'operator-address = 0.0.0.0:7403'),
    'keys without files': withLine('mode = off', 'mode = on\ncertificate = node.pem'),
    'files although keys are off': withLine('mode = off', 'mode = off\nkey = node.key'),
    'platform without address': withLine('url = http://127.0.0.1:7500', ''),
    'several faults at once': VALID.replace('darkhan-1', 'Darkhan 1').replace('status-3', 'Status').replace('off', 'maybe')
  }
  for (const [name, text] of Object.entries(refused)) {
    it(`refuses: ${name}`, () => {
      const refusal = refusalOf(text)
      expect(refusal).to.not.equal('')
      expect(refusal).toMatchSnapshot()
    })
  }

  it('returns settings or throws a SettingsError for any text', () => {
    const line = fc.oneof(fc.constantFrom(...VALID.split('\n')), fc.string(), fc.string({ unit: 'binary' }))
    fc.assert(fc.property(fc.array(line, { maxLength: 40 }), (lines) => {
      refusalOf(lines.join('\n'))
    }), { seed: 61, numRuns: 500 })
  })
})
