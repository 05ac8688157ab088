/** One `savoryknotd` as a process of its own. */
import { spawn, type ChildProcess } from 'node:child_process'
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fetch } from 'undici'
import { REPOSITORY } from './Repository.js'

const READY_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 50
const HOST = '127.0.0.1'
/** Keep the young generation small and collect the old one early, as docs/OPERATIONS.md advises. */
const NODE_ARGUMENTS = ['--max-semi-space-size=2', '--heap-growing-percent=10']

/** What runs at one node. */
export interface INodePlan {
  readonly name: string
  readonly failureDomain: string
  readonly region: string
  readonly callerPort: number
  readonly gatePort: number
  readonly peerPort: number
  readonly operatorPort: number
  readonly metricsPort: number
  readonly upstreams: ReadonlyArray<{ readonly endpoint: string, readonly service: string, readonly port: number }>
  readonly platformUrl: string
  /** Key files; plaintext without them. */
  readonly keys?: { readonly certificate: string, readonly key: string, readonly authority: string }
}

/** Settings of a node in INI. */
export function writeSettings (plan: INodePlan): string {
  const upstreams = plan.upstreams.map((upstream) => {
    return `[upstream.${upstream.endpoint}]\nservice = ${upstream.service}\naddress = ${HOST}:${upstream.port}\n`
  })
  return `[node]
failure-domain = ${plan.failureDomain}
region = ${plan.region}
caller-address = ${HOST}:${plan.callerPort}
gate-address = ${HOST}:${plan.gatePort}
peer-address = ${HOST}:${plan.peerPort}
operator-address = ${HOST}:${plan.operatorPort}
metrics-address = ${HOST}:${plan.metricsPort}

${upstreams.join('\n')}
[platform]
kind = http
url = ${plan.platformUrl}

${writeKeys(plan)}`
}

function writeKeys ({ keys }: INodePlan): string {
  if (keys === undefined) return '[tls]\nmode = off\n'
  return `[tls]\nmode = on\ncertificate = ${keys.certificate}\nkey = ${keys.key}\nauthority = ${keys.authority}\n`
}

/** Starts, watches and stops the process. */
export class NodeProcess {
  private _child: ChildProcess | undefined
  private _exit: Promise<number | null> = Promise.resolve(null)
  private _lastLines: string[] = []

  constructor (public readonly plan: INodePlan, private readonly _folder: string) {}

  /** `host:port` of the operator port. */
  public get operatorAddress (): string {
    return `${HOST}:${this.plan.operatorPort}`
  }

  /** URL of the caller port. */
  public get callerUrl (): string {
    return `http://${HOST}:${this.plan.callerPort}`
  }

  /** Process id, for resident memory. */
  public get processId (): number {
    return this._child?.pid ?? 0
  }

  /** Starts the process; resolves with the milliseconds until it was ready. */
  public async start (): Promise<number> {
    const file = join(this._folder, `${this.plan.name}.ini`)
    await writeFile(file, writeSettings(this.plan))
    const startedAt = Date.now()
    const child = spawn(process.execPath, [...NODE_ARGUMENTS, join(REPOSITORY, 'bin/savoryknotd.js'), '--settings', file], { stdio: ['ignore', 'inherit', 'pipe'] })
    this._child = child
    this._exit = new Promise((resolve) => child.once('exit', (code) => resolve(code)))
    child.stderr?.setEncoding('utf8').on('data', (text: string) => this._keepLines(text))
    await this._waitUntilReady(startedAt + READY_TIMEOUT_MS)
    return Date.now() - startedAt
  }

  /** What the process logged last. */
  public get lastLines (): readonly string[] {
    return this._lastLines
  }

  /** Sends SIGTERM; resolves with the exit code. */
  public stop (): Promise<number | null> {
    this._child?.kill('SIGTERM')
    return this._exit
  }

  /** Ends the process at once. */
  public async kill (): Promise<void> {
    this._child?.kill('SIGKILL')
    await this._exit
  }

  /** Pauses the process, as a stalled VM does. */
  public freeze (): void {
    this._child?.kill('SIGSTOP')
  }

  /** Lets a paused process go on. */
  public resume (): void {
    this._child?.kill('SIGCONT')
  }

  /** True while the process runs, paused or not. */
  public get isRunning (): boolean {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null
  }

  private _keepLines (text: string): void {
    this._lastLines = [...this._lastLines, ...text.split('\n').filter((line) => line !== '')].slice(-20)
  }

  private async _waitUntilReady (deadline: number): Promise<void> {
    while (Date.now() < deadline) {
      if (this._child?.exitCode !== null) break
      if (await this._isReady()) return
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
    throw new Error(`${this.plan.name} did not become ready; its last events:\n${this._lastLines.join('\n')}`)
  }

  private async _isReady (): Promise<boolean> {
    try {
      const answer = await fetch(`http://${HOST}:${this.plan.metricsPort}/ready`)
      await answer.text()
      return answer.status === 200
    } catch {
      return false
    }
  }
}
