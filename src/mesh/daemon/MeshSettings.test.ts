/** The bounds that a deployment states, in every form of number in which its platform renders them. */
import { expect } from 'chai'
import { SettingsError } from '../../daemon/settings/SettingsError.js'
import { parseMeshSettings, type IMeshSettings } from './MeshSettings.js'

const FILE = 'node.ini'

function settingsWith (...bounds: readonly string[]): IMeshSettings {
  const ports = ['caller', 'gate', 'peer', 'ready', 'control', 'metrics'].map((name, number) => `${name}-address = 127.0.0.1:${7_400 + number}`)
  const lines = ['[mesh]', 'node = n1', 'failure-domain = z1', 'region = r1', ...ports, '[store]', 'address = 127.0.0.1:7500', '[bounds]', ...bounds]
  return parseMeshSettings(FILE, `${lines.join('\n')}\n`)
}

/** Message of the `SettingsError`; empty if the settings are valid. */
function refusalOf (...bounds: readonly string[]): string {
  try {
    settingsWith(...bounds)
    return ''
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    return error.message
  }
}

describe('Bounds of a mesh node', () => {
  it('may be fractions', () => {
    const bounds = ['heartbeat = 1500.5 ms', 'stop = 2.5 s', 'retry-window = 10 s', 'retry-share = 0.2', 'retry-slack = 30.714285714285715']
    expect(settingsWith(...bounds).bounds).toMatchSnapshot()
  })

  it('may be whole numbers, zero, or have an exponent', () => {
    const bounds = ['heartbeat = 1500 ms', 'stop = 1.5e1 s', 'retry-window = 0.25 min', 'retry-share = 1e-07', 'retry-slack = 0']
    expect(settingsWith(...bounds).bounds).toMatchSnapshot()
  })

  it('are refused with the file, section, key, value and range', () => {
    const bounds = ['heartbeat = 1500', 'stop = 2 h', 'retry-window = ten s', 'retry-share = 1.2', 'retry-slack = -1']
    expect(refusalOf(...bounds)).toMatchSnapshot()
  })
})
