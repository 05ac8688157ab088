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
/** Share of requests whose caller leaves before the answer, and when. */
const LEAVING_SHARE = 0.12
const LEAVES_EARLIEST_MS = 5
const LEAVES_LATEST_MS = 300
/** Share of requests with a body whose second half is sent later than the first one, and how much. */
const SLOW_BODY_SHARE = 0.4
const LONGEST_BODY_GAP_MS = 150
/** Longest time between two requests of one who presses. */
const LONGEST_PRESS_GAP_MS = 40
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
  /** Undefined if the caller waits. */
  readonly leavesAfter: number | undefined
  readonly body: string
  /** Time between the two halves of the body. */
  readonly bodyGap: number
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
      if (!await this._ask(node, agent, this._plan(LEAVING_SHARE))) await sleep(UNREACHABLE_PAUSE_MS)
      await sleep(this._random.integer(LONGEST_PAUSE_MS))
    }
    agent.destroy()
  }

  /** Sends requests at the node, each on a connection of its own and without waiting for the one before, until it is over. */
  public async press (node: SoakNode, areLeaving: boolean, isOver: () => boolean): Promise<void> {
    const agent = new Agent({ keepAlive: false })
    const sent: Array<Promise<unknown>> = []
    while (!isOver()) {
      sent.push(this._ask(node, agent, this._plan(areLeaving ? 1 : 0)))
      await sleep(this._random.integer(LONGEST_PRESS_GAP_MS))
    }
    await Promise.all(sent)
  }

  private _plan (leavingShare: number): IPlannedRequest {
    const id = `q${this._nextId++}`
    const kind = KINDS[this._random.integer(KINDS.length)] ?? 'read'
    const mayLeave = kind === 'read' || kind === 'pay'
    const leaves = mayLeave && this._random.fraction() < leavingShare
    const isLong = kind === 'short' || (kind === 'read' && (leaves || this._random.fraction() < LONG_SHARE))
    const hasSlowBody = mayLeave && this._random.fraction() < SLOW_BODY_SHARE
    return {
      id,
      kind,
      path: `${this._prefix(kind)}${isLong ? 'long' : 'usual'}/${id}`,
      leavesAfter: leaves ? LEAVES_EARLIEST_MS + this._random.integer(LEAVES_LATEST_MS - LEAVES_EARLIEST_MS) : undefined,
      body: kind === 'pay' || hasSlowBody ? `body of ${id}` : '',
      bodyGap: hasSlowBody ? this._random.integer(LONGEST_BODY_GAP_MS) : 0
    }
  }

  /** False if there was nobody to send it to. */
  private async _ask (node: SoakNode, agent: Agent, planned: IPlannedRequest): Promise<boolean> {
    const record = await this._send(node, agent, planned)
    if (record !== undefined) this._deployment.answers.push(record)
    return record !== undefined
  }

  private _prefix (kind: RequestKind): string {
    if (kind === 'probe') return versionPrefix(Math.max(1, this._deployment.versions.size - this._random.integer(PROBED_VERSIONS)))
    return kind === 'read' ? '/status/' : `/${kind}/`
  }

  /** Undefined if there was nobody to send it to. */
  private _send (node: SoakNode, agent: Agent, planned: IPlannedRequest): Promise<ICallerRecord | undefined> {
    const { id, kind, path, leavesAfter, body: sentBody, bodyGap } = planned
    const sentAt = this._deployment.now()
    const { incarnation } = node
    return new Promise((resolve) => {
      let hasLeft = false
      let isWholeSent = false
      const finish = (status: number, body = '', signature = '', retryAfter?: number): void => {
        clearTimeout(timer)
        clearTimeout(bodyTimer)
        const endedAt = this._deployment.now()
        const seen = { sentAt, endedAt, status, body, signature, retryAfter, hasLeft, isWholeSent, incarnation }
        resolve({ id, node: node.place.name, kind, path, ...seen })
      }
      const length = sentBody === '' ? {} : { 'content-length': String(sentBody.length) }
      const headers = { host: 'mesh.example', 'x-savoryknot-attempt-id': id, 'x-savoryknot-deadline-ms': String(DEADLINE_MS), ...length }
      const request = sendRequest({ host: HOST, port: node.callerPort, agent, method: sentBody === '' ? 'GET' : 'POST', path, headers })
      request.on('error', (error: NodeJS.ErrnoException) => {
        if (error.code === 'ECONNREFUSED') {
          clearTimeout(timer)
          clearTimeout(bodyTimer)
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
      }, leavesAfter ?? DEADLINE_MS + GIVE_UP_MS)
      const half = bodyGap === 0 ? 0 : Math.floor(sentBody.length / 2)
      const sendRest = (): void => {
        isWholeSent = true
        request.end(sentBody.slice(half))
      }
      const bodyTimer = bodyGap === 0 ? undefined : setTimeout(sendRest, bodyGap)
      if (bodyGap === 0) sendRest()
      else request.write(sentBody.slice(0, half))
    })
  }
}
