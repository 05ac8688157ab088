/**
 * A small deployment on loopback addresses: the store, the project's own processes by the command of the deploy file, their endpoints,
 * and clients. Everything that happens is written to `record.txt` in the folder of the case.
 */
import { spawn } from 'node:child_process'
import { createWriteStream, existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Endpoint, poster } from './Endpoint.mjs'
import { Store } from './Store.mjs'

const REPOSITORY = join(dirname(fileURLToPath(import.meta.url)), '..', '..')
const HOST = '127.0.0.1'
const START_TIMEOUT_MS = 20_000
const CHECK_INTERVAL_MS = 50
const PORTS = ['outbound', 'inbound', 'ready', 'control', 'peer', 'metrics']
const FIRST_PORT = 12_000
const PORT_RANGE = 18_000

export const BOUNDS = Object.freeze({ contactMs: 3_000, drainMs: 2_000, graceS: 6, retryWindowS: 10, retryRatio: 0.2, retrySlack: 58 })
export const HAS_TROUBLE = process.env.TROUBLE !== '0'

export function sleep (duration) {
  return new Promise((resolve) => { setTimeout(resolve, duration) })
}

export class Deployment {
  constructor (folder) {
    this.store = new Store()
    this.machines = []
    this.answers = []
    this._isStopping = false
    this._startedAt = performance.now()
    this._record = createWriteStream(join(folder, 'record.txt'))
    this._temporary = mkdtempSync(join(tmpdir(), 'savoryknot-review-'))
    this.record = (text) => { this._record.write(`${this.now().toFixed(0).padStart(6)} ms  ${text}\n`) }
  }

  now () {
    return performance.now() - this._startedAt
  }

  /** `routes`: `{ prefix, service, kind, timeoutMs, maxAttempts }`; `services`: the service of each machine's endpoint. */
  async start (routes, services, endpointOptions = {}, limits = {}) {
    if (!existsSync(join(REPOSITORY, 'target/savoryknotd.cjs'))) throw new Error('target/ has not been built')
    await this.store.start()
    this.configure(1, routes, limits)
    for (const [index, service] of services.entries()) this.machines.push(await this._createMachine(index, service, endpointOptions))
    await Promise.all(this.machines.map((machine) => this._startMachine(machine)))
    // Contact is counted from the start of a process.
    await sleep(BOUNDS.contactMs + 500)
    this.record('all machines are in touch')
  }

  /** Writes a version of the configuration, as the operator does. */
  configure (version, routes, limits = {}) {
    const names = [...new Set(routes.map(({ service }) => service))]
    this.store.put('op', 'config', JSON.stringify({
      version: `r${version}`,
      routes: {
        columns: ['name', 'hostname', 'prefix', 'kind', 'timeoutMs', 'targetLatencyMs', 'priority', 'maxAttempts', 'service', 'weightedSplit'],
        rows: routes.map(({ prefix, service, kind = 'idempotent', timeoutMs = 2_000, maxAttempts = 2 }) => {
          return [`route${prefix.replaceAll('/', '-')}`, 'mesh.example', prefix, kind, timeoutMs, 600, 1, maxAttempts, service, null]
        })
      },
      services: { columns: ['name', 'healthPath', 'maxConns'], rows: names.map((name) => [name, '/health', 110]) },
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 1_048_576, headerTimeoutMs: 3_000, idleTimeoutMs: 10_000, ...limits }
    }))
    this.record(`operator writes configuration r${version}`)
  }

  /** Starts the node's process of a machine. */
  startProcess (machine) {
    // A case may have planned a restart for later than its end.
    if (this._isStopping) return
    const child = spawn(machine.command[0], machine.command.slice(1), { cwd: REPOSITORY, stdio: ['ignore', 'pipe', 'pipe'] })
    machine.log ??= createWriteStream(join(this._temporary, `${machine.name}.log`))
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => machine.log.write(chunk))
    machine.process = child
    machine.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.record(`${machine.name} ended: code ${code}, signal ${signal}`)
        resolve()
      })
    })
    this.record(`${machine.name} started, process ${child.pid}`)
  }

  /** Sends a request of a client on the machine; resolves with its answer. `bytesPerSecond`: rate of the client's link. */
  call (machine, { id, method = 'GET', path = '/', body, deadlineMs = 1_500, headers = {}, agent = false, bytesPerSecond }) {
    const answer = { id, machine: machine.name, method, path, sentAt: performance.now(), status: 0, headers: {}, body: '', isWhole: false, error: '' }
    this.answers.push(answer)
    this.record(`client of ${machine.name} sends ${id} ${method} ${path}`)
    return new Promise((resolve) => {
      const request = sendRequest({
        host: HOST,
        port: machine.ports.outbound,
        method,
        path,
        agent,
        headers: { host: 'mesh.example', 'x-savoryknot-attempt-id': id, 'x-savoryknot-deadline-ms': String(deadlineMs), ...headers }
      })
      const finish = (error = '') => {
        if (answer.endedAt !== undefined) return
        answer.endedAt = performance.now()
        answer.error = error
        const signature = answer.headers['x-savoryknot-response-signature'] ?? 'none'
        this.record(`client of ${machine.name} got ${answer.status} for ${id}, signature ${signature}, ${answer.body.length} characters ${error}`)
        resolve(answer)
      }
      const timer = setTimeout(() => {
        finish('the deadline has passed')
        request.destroy()
      }, deadlineMs + 1_000)
      request.once('response', (response) => {
        answer.status = response.statusCode
        answer.headers = response.headers
        const chunks = []
        response.on('data', (chunk) => {
          chunks.push(chunk)
          if (bytesPerSecond === undefined) return
          response.pause()
          setTimeout(() => response.resume(), chunk.length * 1_000 / bytesPerSecond)
        })
        response.once('end', () => {
          clearTimeout(timer)
          answer.body = Buffer.concat(chunks).toString('latin1')
          answer.isWhole = response.complete
          finish()
        })
        response.once('error', (error) => {
          clearTimeout(timer)
          finish(error.message)
        })
      })
      request.once('error', (error) => {
        clearTimeout(timer)
        finish(error.message)
      })
      request.end(body)
    })
  }

  /** Ends all processes that were started. */
  async stop () {
    this._isStopping = true
    for (const machine of this.machines) {
      machine.endpoint.exit()
      if (machine.process === undefined || machine.process.exitCode !== null || machine.process.signalCode !== null) continue
      machine.process.kill('SIGCONT')
      machine.process.kill('SIGKILL')
      await machine.exited
    }
    this.store.stop()
    if (process.env.KEEP_LOGS === undefined) rmSync(this._temporary, { recursive: true, force: true })
    else process.stdout.write(`logs: ${this._temporary}\n`)
    await new Promise((resolve) => { this._record.end(resolve) })
  }

  async _createMachine (index, service, endpointOptions) {
    const name = `sidecar-${index}`
    const ports = await freePorts()
    const zone = `zone-${index % 3}`
    const endpoint = new Endpoint({ id: `i-${index}a`, service, record: this.record, ...endpointOptions })
    const file = join(this._temporary, `${name}.ini`)
    writeFileSync(file, fillTemplate({ name, zone, service, ports, store: this.store.address }))
    return { name, ports, endpoint, post: poster(ports.control, this.record), command: deployCommand(file), process: undefined }
  }

  async _startMachine (machine) {
    this.startProcess(machine)
    await machine.endpoint.start()
    await this.waitUntilReady(machine)
    machine.endpoint.startHeartbeats(machine.post)
    await sleep(500)
  }

  lastLogLines ({ name }) {
    return readFileSync(join(this._temporary, `${name}.log`), 'utf8').split('\n').slice(-4).join(' ')
  }

  async waitUntilReady (machine) {
    const deadline = performance.now() + START_TIMEOUT_MS
    while (!await isReady(machine)) {
      if (performance.now() > deadline) throw new Error(`${machine.name} is not ready; its log ends with: ${this.lastLogLines(machine)}`)
      await sleep(CHECK_INTERVAL_MS)
    }
  }
}

/** Runs a case: exits with 1 if `run` found the rule broken, with 0 if it held, with 2 if the case couldn't run. */
export async function runCase (folder, run) {
  const deployment = new Deployment(folder)
  const abandon = (reason) => {
    process.stderr.write(`${reason}\n`)
    deployment.stop().finally(() => process.exit(2))
  }
  process.on('uncaughtException', (error) => abandon(error.stack))
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => abandon(`ended by ${signal}`))
  let code = 2
  try {
    const breach = await run(deployment)
    deployment.record(breach === undefined ? 'the rule held' : `the rule was broken: ${breach}`)
    process.stdout.write(`${breach === undefined ? 'held' : `broken: ${breach}`}\n`)
    code = breach === undefined ? 0 : 1
  } catch (error) {
    deployment.record(`the case could not run: ${error.stack}`)
    process.stderr.write(`${error.stack}\n`)
  }
  await deployment.stop()
  process.exit(code)
}

/** The command by which the users start each process, with another path of the settings file. */
function deployCommand (file) {
  const [, command] = /^run = "(.*)"$/m.exec(readFileSync(join(REPOSITORY, 'deploy/system.toml'), 'utf8'))
  const [program, ...words] = command.split(' ')
  return [program === 'node' ? process.execPath : program, ...words.slice(0, -1), file]
}

/** Fills the template of the settings, which has sections for single values only. */
function fillTemplate ({ name, zone, service, ports, store }) {
  const at = (port) => `${HOST}:${ports[port]}`
  const values = {
    nodeName: name,
    zone,
    region: 'region-1',
    service,
    ip: HOST,
    'listen.outbound': at('outbound'),
    'listen.inbound': at('inbound'),
    'listen.ready': at('ready'),
    'listen.control': at('control'),
    'portRange.0': ports.peer,
    'portRange.1': ports.metrics,
    'platform.address': store,
    heartbeatMs: 1_500,
    'bounds.graceS': BOUNDS.graceS,
    'bounds.retryWindowS': BOUNDS.retryWindowS,
    'bounds.retryRatio': BOUNDS.retryRatio,
    'bounds.retrySlack': BOUNDS.retrySlack
  }
  const template = readFileSync(join(REPOSITORY, 'deploy/node.ini'), 'utf8')
  const sections = template.replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_match, key, inner) => inner.replaceAll('{{.}}', values[key]))
  return sections.replace(/\{\{([\w.]+)\}\}/g, (_match, key) => values[key])
}

const drawnPorts = new Set()

/** Ports below the ephemeral range, so that no outgoing connection takes one of them. */
async function freePorts () {
  const ports = {}
  for (const name of PORTS) ports[name] = await freePort()
  return ports
}

async function freePort () {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_RANGE)
    if (drawnPorts.has(port) || !await isFree(port)) continue
    drawnPorts.add(port)
    return port
  }
}

function isFree (port) {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(false))
    server.listen(port, HOST, () => server.close(() => resolve(true)))
  })
}

function isReady ({ ports }) {
  return new Promise((resolve) => {
    const request = sendRequest({ host: HOST, port: ports.ready, path: '/api/ready', agent: false }, (response) => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    request.once('error', () => resolve(false))
    request.end()
  })
}
