/** Questions that one node asks another beside calls. */
import type { IncomingHttpHeaders } from 'node:http'
import { connect, type Socket } from 'node:net'
import { splitAddress } from '../../common/HostPort.js'
import type { IClockService } from '../../common/Services.js'
import type { Milliseconds, NetworkAddress, RequestId } from '../../common/Types.js'
import { UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { singleHeader } from '../../routing/AnswerHeaders.js'
import type { SettledState } from '../endpoint/EndpointGate.js'
import { decodeLoad, INNER_HEADER } from './CallCodec.js'
import { HttpExchange, type ExchangeEnd } from './HttpExchange.js'
import type { IEndpointLoad } from '../Types.js'

/** Field of the answer to a question about a request. */
export const SETTLE_ANSWER = 'savoryknot-settled'

/** What a node says of a request. `other-process`: the process that was sent the request is not there any more. */
export type SettleReply = SettledState | 'other-process'

const REPLIES: ReadonlySet<string> = new Set<SettleReply>(['never-will-be', 'running', 'finished', 'other-process'])

const PROBE_FIELDS: readonly string[] = Object.freeze([INNER_HEADER.purpose, 'probe'])

/** Answer to a probe. */
export interface IProbeAnswer {
  readonly load: IEndpointLoad | undefined
  readonly processToken: string | undefined
}

/** Answer to the question what became of a request. */
export interface ISettleAnswer {
  readonly reply: SettleReply
  readonly load: IEndpointLoad | undefined
}

/** What the questions need. */
export interface INodeQuestionsOptions {
  readonly clock: IClockService
  /** RPC address of this node, so that a node that knows nobody learns of one. */
  readonly peerAddress: NetworkAddress
  /** Time for connection and answer together, where a question is given no other. */
  readonly timeout: Milliseconds
}

/** Questions on connections of their own, since one that has fallen silent says nothing about the node behind it. */
export class NodeQuestions {
  constructor (private readonly _options: INodeQuestionsOptions) {}

  /** Undefined if there is no answer in time. */
  public async probe (address: NetworkAddress, timeout = this._options.timeout): Promise<IProbeAnswer | undefined> {
    const end = await this._ask(address, PROBE_FIELDS, timeout)
    return probeAnswerOf(end)
  }

  /** As `probe`, on a connection that was opened for calls; it can be used further after an answer. Whoever asks limits the time. */
  public async greet (connection: UpstreamConnection, address: NetworkAddress): Promise<IProbeAnswer | undefined> {
    return probeAnswerOf(await this._exchangeFor(address, PROBE_FIELDS).run(connection))
  }

  /** Undefined if there is no answer in time. */
  public async settle (
    address: NetworkAddress, requestId: RequestId, processToken: string, timeout = this._options.timeout
  ): Promise<ISettleAnswer | undefined> {
    const fields = [INNER_HEADER.purpose, 'settle', INNER_HEADER.requestId, requestId, INNER_HEADER.processToken, processToken]
    const end = await this._ask(address, fields, timeout)
    if (end.kind !== 'answer') return undefined
    const reply = end.headers[SETTLE_ANSWER]
    return typeof reply === 'string' && REPLIES.has(reply) ? { reply: reply as SettleReply, load: loadOf(end.headers) } : undefined
  }

  private _ask (address: NetworkAddress, fields: readonly string[], timeout: Milliseconds): Promise<ExchangeEnd> {
    const { clock } = this._options
    const exchange = this._exchangeFor(address, fields)
    return new Promise((resolve) => {
      const socket: Socket = connect({ ...splitAddress(address), noDelay: true })
      const finish = (end: ExchangeEnd): void => {
        timer.dispose()
        socket.destroy()
        resolve(end)
      }
      const timer = clock.after(timeout, () => finish({ kind: 'broken', reason: 'timeout' }))
      socket.once('error', (error) => finish({ kind: 'not-sent', reason: error.message }))
      socket.once('connect', () => {
        const connection = new UpstreamConnection(socket, `http://${address}`)
        exchange.run(connection).then((end) => {
          finish(end)
          connection.close()
        }, (error: unknown) => finish({ kind: 'broken', reason: String(error) }))
      })
    })
  }

  private _exchangeFor (address: NetworkAddress, fields: readonly string[]): HttpExchange {
    return new HttpExchange({
      method: 'GET', path: '/', fields: [...fields, 'host', address, INNER_HEADER.peer, this._options.peerAddress], body: undefined
    })
  }
}

function probeAnswerOf (end: ExchangeEnd): IProbeAnswer | undefined {
  if (end.kind !== 'answer') return undefined
  const token = end.headers[INNER_HEADER.processToken]
  return { load: loadOf(end.headers), processToken: typeof token === 'string' ? token : undefined }
}

function loadOf (headers: IncomingHttpHeaders): IEndpointLoad | undefined {
  return decodeLoad(singleHeader(headers, INNER_HEADER.load))
}
