/** Callers at every node, on persistent connections that last until the process exits. */
import { Agent, request as sendRequest } from 'node:http'
import type { IRandomService } from '../../src/common/Services.js'
import { sleep, versionPrefix, type SoakDeployment } from './SoakDeployment.js'
import type { SoakNode } from './SoakNode.js'
import type { ICallerRecord, RequestKind } from './Types.js'

const HOST = '127.0.0.1'
const CALLERS_PER_NODE = 2
/** Maximum pause of a caller after a response. */
const MAXIMUM_PAUSE_MS = 150
/** Pause of a caller whose node is unreachable. */
const UNREACHABLE_PAUSE_MS = 100
const DEADLINE_MS = 1_500
/** Time after the deadline at which a caller aborts its request. */
const CALLER_TIMEOUT_MARGIN_MS = 2_500
/** Share of requests whose caller disconnects before the response, and the range of the delay until then. */
const DISCONNECT_SHARE = 0.12
const MINIMUM_DISCONNECT_DELAY_MS = 5
const MAXIMUM_DISCONNECT_DELAY_MS = 300
/** Share of requests whose body is sent in two halves, and the maximum time between them. */
const SLOW_BODY_SHARE = 0.4
const MAXIMUM_BODY_GAP_MS = 150
/** Maximum time between two requests of a caller that does not wait for responses. */
const MAXIMUM_SEND_GAP_MS = 40
/** Share of read requests with a long execution time. */
const LONG_SHARE = 0.05
const KINDS: readonly RequestKind[] = ['read', 'read', 'read', 'pay', 'pay', 'short', 'probe']
/** Number of newest configuration versions among which a probe selects one. */
const PROBED_VERSIONS = 4

/** One request before it is sent. */
interface IPlannedRequest {
  readonly id: string
  readonly kind: RequestKind
  readonly path: string
  /** Undefined if the caller waits for the response. */
  readonly disconnectsAfter: number | undefined
  readonly body: string
  /** Time between the two halves of the body. */
  readonly bodyGap: number
}

/** Sends requests and records their results until it is stopped. */
export class SoakCallers {
  private _isStopped = false
  private _nextId = 0
  private _loops: Array<Promise<void>> = []

  constructor (private readonly _deployment: SoakDeployment, private readonly _random: IRandomService) {}

  public start (): void {
    this._loops = this._deployment.nodes.flatMap((node) => Array.from({ length: CALLERS_PER_NODE }, () => this._runCaller(node)))
  }

  /** Stops the callers; resolves once the requests in flight have finished. */
  public async stop (): Promise<void> {
    this._isStopped = true
    await Promise.all(this._loops)
  }

  /** Loop of one caller. */
  private async _runCaller (node: SoakNode): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!this._isStopped) {
      if (!await this._sendAndRecord(node, agent, this._plan(DISCONNECT_SHARE))) await sleep(UNREACHABLE_PAUSE_MS)
      await sleep(this._random.integer(MAXIMUM_PAUSE_MS))
    }
    agent.destroy()
  }

  /** Sends requests to the node, each on a connection of its own and without waiting for the previous one, until `isOver`. */
  public async sendContinuously (node: SoakNode, shouldDisconnect: boolean, isOver: () => boolean): Promise<void> {
    const agent = new Agent({ keepAlive: false })
    const sent: Array<Promise<unknown>> = []
    while (!isOver()) {
      sent.push(this._sendAndRecord(node, agent, this._plan(shouldDisconnect ? 1 : 0)))
      await sleep(this._random.integer(MAXIMUM_SEND_GAP_MS))
    }
    await Promise.all(sent)
  }

  private _plan (disconnectShare: number): IPlannedRequest {
    const id = `q${this._nextId++}`
    const kind = KINDS[this._random.integer(KINDS.length)] ?? 'read'
    const canDisconnect = kind === 'read' || kind === 'pay'
    const disconnects = canDisconnect && this._random.fraction() < disconnectShare
    const isLong = kind === 'short' || (kind === 'read' && (disconnects || this._random.fraction() < LONG_SHARE))
    const hasSlowBody = canDisconnect && this._random.fraction() < SLOW_BODY_SHARE
    return {
      id,
      kind,
      path: `${this._prefix(kind)}${isLong ? 'long' : 'usual'}/${id}`,
      disconnectsAfter: disconnects
        ? MINIMUM_DISCONNECT_DELAY_MS + this._random.integer(MAXIMUM_DISCONNECT_DELAY_MS - MINIMUM_DISCONNECT_DELAY_MS)
        : undefined,
      body: kind === 'pay' || hasSlowBody ? `body of ${id}` : '',
      bodyGap: hasSlowBody ? this._random.integer(MAXIMUM_BODY_GAP_MS) : 0
    }
  }

  /** Resolves with false if the node refused the connection. */
  private async _sendAndRecord (node: SoakNode, agent: Agent, planned: IPlannedRequest): Promise<boolean> {
    const record = await this._send(node, agent, planned)
    if (record !== undefined) this._deployment.callerRecords.push(record)
    return record !== undefined
  }

  private _prefix (kind: RequestKind): string {
    if (kind === 'probe') return versionPrefix(Math.max(1, this._deployment.versions.size - this._random.integer(PROBED_VERSIONS)))
    return kind === 'read' ? '/status/' : `/${kind}/`
  }

  /** Resolves with undefined if the node refused the connection. */
  private _send (node: SoakNode, agent: Agent, planned: IPlannedRequest): Promise<ICallerRecord | undefined> {
    const { id, kind, path, disconnectsAfter, body: sentBody, bodyGap } = planned
    const sentAt = this._deployment.now()
    const { incarnation } = node
    return new Promise((resolve) => {
      let hasLeft = false
      let isWholeSent = false
      const finish = (status: number, body = '', signature = '', retryAfter?: number): void => {
        clearTimeout(timer)
        clearTimeout(bodyTimer)
        const endedAt = this._deployment.now()
        const observed = { sentAt, endedAt, status, body, signature, retryAfter, hasLeft, isWholeSent, incarnation }
        resolve({ id, node: node.identity.name, kind, path, ...observed })
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
      request.on('response', (response) => {
        const chunks: Buffer[] = []
        response.on('data', (chunk: Buffer) => chunks.push(chunk))
        response.on('error', () => undefined)
        response.on('close', () => {
          if (!response.complete) return finish(0)
          const { 'retry-after': retryAfter, 'x-savoryknot-response-signature': signature } = response.headers
          const retryAfterSeconds = retryAfter === undefined ? undefined : Number(retryAfter)
          finish(response.statusCode ?? 0, Buffer.concat(chunks).toString(), String(signature ?? ''), retryAfterSeconds)
        })
      })
      const timer = setTimeout(() => {
        hasLeft = true
        request.destroy()
        finish(0)
      }, disconnectsAfter ?? DEADLINE_MS + CALLER_TIMEOUT_MARGIN_MS)
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
