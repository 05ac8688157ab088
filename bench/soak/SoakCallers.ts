/** Callers at every node, on connections that they keep until the process is gone. */
import { Agent, request as sendRequest } from 'node:http'
import type { IRandomService } from '../../src/common/Services.js'
import { sleep, versionPrefix, type SoakDeployment } from './SoakDeployment.js'
import type { SoakNode } from './SoakNode.js'
import type { ICallerRecord, RequestKind } from './Types.js'

const HOST = '127.0.0.1'
/** Callers at one node. */
const CALLERS = 2
/** Longest pause of a caller after an answer. */
const LONGEST_PAUSE_MS = 150
/** Pause of a caller whose node cannot be reached. */
const UNREACHABLE_PAUSE_MS = 100
const DEADLINE_MS = 1_500
/** Time after the deadline at which a caller gives up. */
const GIVE_UP_MS = 2_500
/** Share of requests for reading whose caller leaves before the answer, and when. */
const LEAVING_SHARE = 0.05
const LEAVES_AFTER_MS = 10
/** Share of requests for reading that take long. */
const LONG_SHARE = 0.05
const KINDS: readonly RequestKind[] = ['read', 'read', 'read', 'pay', 'pay', 'short', 'probe']
/** Newest versions among which a probe asks for one. */
const PROBED_VERSIONS = 4

/** One request before it is sent. */
interface IPlannedRequest {
  readonly id: string
  readonly kind: RequestKind
  readonly path: string
  readonly leaves: boolean
}

/** Runs until it is stopped. */
export class SoakCallers {
  private _isStopped = false
  private _nextId = 0
  private _loops: Array<Promise<void>> = []

  constructor (private readonly _deployment: SoakDeployment, private readonly _random: IRandomService) {}

  public start (): void {
    this._loops = this._deployment.nodes.flatMap((node) => Array.from({ length: CALLERS }, () => this._call(node)))
  }

  /** Waits for requests on their way. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await Promise.all(this._loops)
  }

  /** One caller. */
  private async _call (node: SoakNode): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this._isStopped) {
      const record = await this._send(node, agent, this._plan())
      if (record === undefined) await sleep(UNREACHABLE_PAUSE_MS)
      else this._deployment.answers.push(record)
      await sleep(this._random.integer(LONGEST_PAUSE_MS))
    }
    agent.destroy()
  }

  private _plan (): IPlannedRequest {
    const id = `q${this._nextId++}`
    const kind = KINDS[this._random.integer(KINDS.length)] ?? 'read'
    const isLong = kind === 'short' || (kind === 'read' && this._random.fraction() < LONG_SHARE)
    const leaves = kind === 'read' && this._random.fraction() < LEAVING_SHARE
    return { id, kind, path: `${this._prefix(kind)}${isLong || leaves ? 'long' : 'usual'}/${id}`, leaves }
  }

  private _prefix (kind: RequestKind): string {
    if (kind === 'probe') return versionPrefix(Math.max(1, this._deployment.versions.size - this._random.integer(PROBED_VERSIONS)))
    return kind === 'read' ? '/status/' : `/${kind}/`
  }

  /** Undefined if there was nobody to send it to. */
  private _send (node: SoakNode, agent: Agent, { id, kind, path, leaves }: IPlannedRequest): Promise<ICallerRecord | undefined> {
    const sentAt = this._deployment.now()
    const { incarnation } = node
    return new Promise((resolve) => {
      let hasLeft = false
      const finish = (status: number, body = '', signature = '', retryAfter?: number): void => {
        clearTimeout(timer)
        const endedAt = this._deployment.now()
        resolve({ id, node: node.place.name, kind, path, sentAt, endedAt, status, body, signature, retryAfter, hasLeft, incarnation })
      }
      const headers = { host: 'mesh.example', 'x-savoryknot-attempt-id': id, 'x-savoryknot-deadline-ms': String(DEADLINE_MS) }
      const request = sendRequest({ host: HOST, port: node.callerPort, agent, method: kind === 'pay' ? 'POST' : 'GET', path, headers })
      request.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') {
          clearTimeout(timer)
          resolve(undefined)
        } else {
          finish(0)
        }
      })
      request.on('response', (answer) => {
        const parts: Buffer[] = []
        answer.on('data', (part: Buffer) => parts.push(part))
        answer.on('error', () => undefined)
        answer.on('close', () => {
          if (!answer.complete) return finish(0)
          const { 'retry-after': retryAfter, 'x-savoryknot-response-signature': signature } = answer.headers
          const wait = retryAfter === undefined ? undefined : Number(retryAfter)
          finish(answer.statusCode ?? 0, Buffer.concat(parts).toString(), String(signature ?? ''), wait)
        })
      })
      const timer = setTimeout(() => {
        hasLeft = true
        request.destroy()
        finish(0)
      }, leaves ? LEAVES_AFTER_MS : DEADLINE_MS + GIVE_UP_MS)
      request.end(kind === 'pay' ? id : undefined)
    })
  }
}
