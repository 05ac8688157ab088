/** The command of the deploy file: the bundle with its compile cache, run as a separate process. */
import { expect } from 'chai'
import { execFileSync, spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { RandomService } from '../src/common/RandomService.js'
import { findFreePorts } from '../testing/demonstration/FreePorts.js'
import { configurationText, idleRoutes } from '../testing/mesh/ConfigurationText.js'
import { StoreStandIn } from '../testing/mesh/StoreStandIn.js'
import { until } from '../testing/mesh/MeshRig.js'

/** Preloaded script: before the process reads a file whose name ends with HANG_UP_AT, sends SIGHUP to it and waits 50 ms. */
const SIGHUP_PRELOAD = `
  const files = require('node:fs')
  const read = files.readFileSync
  files.readFileSync = (file, ...rest) => {
    if (String(file).endsWith(process.env.HANG_UP_AT)) {
      process.kill(process.pid, 'SIGHUP')
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 50)
    }
    return read(file, ...rest)
  }
  require('node:module').syncBuiltinESMExports()
`
/** Enough routes for V8 to optimize the WebAssembly HTTP parser while it reads them. */
const MANY_ROUTES = 1_200
const PORT_NAMES = ['caller', 'gate', 'peer', 'ready', 'control', 'metrics']

/** Node.js flags and script in the command of the deploy file. */
function deployedCommand (): readonly string[] {
  const command = /^run = "node (.*) --settings/m.exec(readFileSync('deploy/system.toml', 'utf8'))?.[1]
  return command?.split(' ') ?? []
}

describe('Bundle of the deploy file', () => {
  const folder = mkdtempSync(join(tmpdir(), 'savoryknot-bundle-'))
  const store = new StoreStandIn()
  let daemon: ChildProcess | undefined

  before(async function () {
    this.timeout(60_000)
    execFileSync('npm', ['run', '--silent', 'build:deploy'])
    await store.start()
    store.put('op', 'config', JSON.stringify({
      version: 'r1', routes: { columns: [], rows: [] }, services: { columns: [], rows: [] }, limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_000_000, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 }
    }))
  })

  after(() => {
    daemon?.kill('SIGKILL')
    store.stop()
    rmSync(folder, { recursive: true })
  })

  /** Writes the settings file of a node with free ports; returns its name. */
  async function writeSettings (): Promise<string> {
    const ports = await findFreePorts(PORT_NAMES.length)
    const file = join(folder, 'node.ini')
    writeFileSync(file, [
      '[mesh]', 'node = n1', 'failure-domain = z1', 'region = r1', ...PORT_NAMES.map((name, index) => `${name}-address = 127.0.0.1:${ports[index] ?? 0}`),
      '[store]', `address = ${store.address}`, '[bounds]', 'stop = 1 s', ''
    ].join('\n'))
    return file
  }

  it('starts from the compile cache, reads the store, logs node-started, and exits with 0 on SIGTERM', async function () {
    this.timeout(30_000)
    daemon = spawn(process.execPath, [...deployedCommand(), '--settings', await writeSettings()], { stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    let errorOutput = ''
    daemon.stdout?.on('data', (chunk: Buffer) => { output += chunk.toString() })
    daemon.stderr?.on('data', (chunk: Buffer) => { errorOutput += chunk.toString() })
    await until(() => output.includes('"node-started"'))
    const exited = once(daemon, 'exit')
    daemon.kill('SIGTERM')
    expect([(await exited)[0], errorOutput]).to.deep.equal([0, ''])
  })

  it('loads its view and stops without an optimizing compilation of the HTTP parser, which is costly', async function () {
    this.timeout(30_000)
    store.put('op', 'config', configurationText(2, idleRoutes(MANY_ROUTES, new RandomService(1))))
    const command = ['--trace-wasm-compilation-times', ...deployedCommand(), '--settings', await writeSettings()]
    daemon = spawn(process.execPath, command, { stdio: ['ignore', 'pipe', 'ignore'] })
    let output = ''
    daemon.stdout?.on('data', (chunk: Buffer) => { output += chunk.toString() })
    await until(() => output.includes('"node-started"'))
    const exited = once(daemon, 'exit')
    daemon.kill('SIGTERM')
    await exited
    const compilers = new Set([...output.matchAll(/^Compiled function .* using (\w+),/gm)].map(([, compiler]) => compiler))
    expect([...compilers]).to.deep.equal(['Liftoff'])
  })

  it('does not contain the protobuf parser, which would parse the protocol at each start', () => {
    const bundle = readFileSync('target/savoryknotd-bundle.cjs', 'utf8')
    expect([bundle.includes('savoryknotd'), bundle.includes('node_modules/protobufjs/src/parse.js')]).to.deep.equal([true, false])
  })

  for (const command of [() => deployedCommand(), () => ['bin/savoryknotd.js']]) {
    it(`is not ended by a SIGHUP during its start: ${command().at(-1) ?? ''}`, async function () {
      this.timeout(30_000)
      const preload = join(folder, 'HangsUp.cjs')
      writeFileSync(preload, SIGHUP_PRELOAD)
      const file = await writeSettings()
      const last = command().at(-1) ?? ''
      const env = { ...process.env, HANG_UP_AT: last.endsWith('.cjs') ? 'savoryknotd-bundle.cjs' : 'node.ini' }
      const child = spawn(process.execPath, ['--require', preload, ...command(), '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'], env })
      let output = ''
      child.stdout.on('data', (chunk: Buffer) => { output += chunk.toString() })
      const exited = once(child, 'exit')
      await Promise.race([until(() => output.includes('"node-started"')), exited])
      child.kill('SIGTERM')
      expect(await exited).to.deep.equal([0, null])
    })
  }
})
