/** One `savoryknotd` of the demonstration in a process of its own. */
import { writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { fetch } from 'undici'
import { DaemonProcess } from './DaemonProcess.js'

const READY_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 50
const HOST = '127.0.0.1'
/** Keep the young generation small and collect the old one early, as docs/OPERATIONS.md advises. */
const NODE_ARGUMENTS = ['--max-semi-space-size=2', '--heap-growing-percent=10']

/** Settings of one node: its location, ports, upstreams and keys. */
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
  /** Key files; without them connections are plaintext. */
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

/** Writes the settings file, starts the process and waits until it is ready. */
export class NodeProcess extends DaemonProcess {
  private readonly _file: string

  constructor (public readonly plan: INodePlan, folder: string) {
    const file = join(folder, `${plan.name}.ini`)
    super({ file, nodeArguments: NODE_ARGUMENTS })
    this._file = file
  }

  /** `host:port` of the operator port. */
  public get operatorAddress (): string {
    return `${HOST}:${this.plan.operatorPort}`
  }

  /** URL of the caller port. */
  public get callerUrl (): string {
    return `http://${HOST}:${this.plan.callerPort}`
  }

  /** Starts the process; resolves with the milliseconds until it was ready. */
  public async startUntilReady (): Promise<number> {
    await writeFile(this._file, writeSettings(this.plan))
    const startedAt = Date.now()
    this.start()
    await this._waitUntilReady(startedAt + READY_TIMEOUT_MS)
    return Date.now() - startedAt
  }

  private async _waitUntilReady (deadline: number): Promise<void> {
    while (Date.now() < deadline) {
      if (!this.isRunning) break
      if (await this._isReady()) return
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
    throw new Error(`${this.plan.name} did not become ready; its last events:\n${this.lastLines.join('\n')}`)
  }

  private async _isReady (): Promise<boolean> {
    try {
      const response = await fetch(`http://${HOST}:${this.plan.metricsPort}/ready`)
      await response.text()
      return response.status === 200
    } catch {
      return false
    }
  }
}
