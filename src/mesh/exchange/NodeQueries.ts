/** Queries that a node sends to another node in addition to calls: probes and settle queries. */
import type { IncomingHttpHeaders } from 'node:http'
import { connect, type Socket } from 'node:net'
import { splitAddress } from '../../common/HostPort.js'
import type { IClockService } from '../../common/Services.js'
import type { Milliseconds, NetworkAddress, RequestId } from '../../common/Types.js'
import { UpstreamConnection } from '../../gate/UpstreamConnections.js'
import { singleHeader } from '../../routing/ResponseHeaders.js'
import type { SettledState } from '../endpoint/EndpointGate.js'
import { decodeLoad, NODE_HEADER } from './CallCodec.js'
import { HttpExchange, type ExchangeResult } from './HttpExchange.js'
import type { IEndpointLoad } from '../Types.js'

/** Header field of the response to a settle query. */
export const SETTLE_REPLY_HEADER = 'savoryknot-settled'

/** State of a request according to a node. `other-process`: the process that the request was sent to no longer runs. */
export type SettleReply = SettledState | 'other-process'

const REPLIES: ReadonlySet<string> = new Set<SettleReply>(['never-will-be', 'running', 'finished', 'other-process'])

/** Responses of nodes have no body; another process may listen at the address of a node that has ended. */
const MAXIMUM_RESPONSE_BYTES = 4_096

const PROBE_FIELDS: readonly string[] = Object.freeze([NODE_HEADER.purpose, 'probe'])

/** Response to a probe. */
export interface IProbeResponse {
  readonly load: IEndpointLoad | undefined
  readonly processToken: string
}

/** Response to a settle query. */
export interface ISettleResponse {
  readonly reply: SettleReply
  readonly load: IEndpointLoad | undefined
}

/** Dependencies and limits of `NodeQueries`. */
export interface INodeQueriesOptions {
  readonly clock: IClockService
  /** RPC address of this node, sent with each query so that a node without known peers receives one. */
  readonly peerAddress: NetworkAddress
  /** Default timeout of a query, including the time to connect. */
  readonly timeout: Milliseconds
}

/**
 * Sends each query on a separate connection, because an unresponsive connection does not show whether the node is unresponsive too.
 */
export class NodeQueries {
  constructor (private readonly _options: INodeQueriesOptions) {}

  /** Undefined if there is no response in time, or if it is not that of a node. */
  public async probe (address: NetworkAddress, timeout = this._options.timeout): Promise<IProbeResponse | undefined> {
    const end = await this._query(address, PROBE_FIELDS, timeout)
    return probeResponseOf(end)
  }

  /** Probes on a connection for calls, which stays usable after a response. Has no timeout; the code that calls it must limit the time. */
  public async probeOnConnection (connection: UpstreamConnection, address: NetworkAddress): Promise<IProbeResponse | undefined> {
    return probeResponseOf(await this._exchangeFor(address, PROBE_FIELDS).run(connection))
  }

  /** Queries the state of a request. Undefined if there is no response in time. */
  public async settle (
    address: NetworkAddress, requestId: RequestId, processToken: string, timeout = this._options.timeout
  ): Promise<ISettleResponse | undefined> {
    const fields = [NODE_HEADER.purpose, 'settle', NODE_HEADER.requestId, requestId, NODE_HEADER.processToken, processToken]
    const end = await this._query(address, fields, timeout)
    if (end.kind !== 'answer') return undefined
    const reply = end.headers[SETTLE_REPLY_HEADER]
    return typeof reply === 'string' && REPLIES.has(reply) ? { reply: reply as SettleReply, load: loadOf(end.headers) } : undefined
  }

  private _query (address: NetworkAddress, fields: readonly string[], timeout: Milliseconds): Promise<ExchangeResult> {
    const { clock } = this._options
    const exchange = this._exchangeFor(address, fields)
    return new Promise((resolve) => {
      const socket: Socket = connect({ ...splitAddress(address), noDelay: true })
      const finish = (end: ExchangeResult): void => {
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
      method: 'GET',
      path: '/',
      fields: [...fields, 'host', address, NODE_HEADER.peer, this._options.peerAddress],
      body: undefined,
      maximumResponseBytes: MAXIMUM_RESPONSE_BYTES
    })
  }
}

/** Undefined if the response has no process token: every node sends one, so another process listens at the address. */
function probeResponseOf (end: ExchangeResult): IProbeResponse | undefined {
  if (end.kind !== 'answer') return undefined
  const processToken = end.headers[NODE_HEADER.processToken]
  return typeof processToken === 'string' ? { load: loadOf(end.headers), processToken } : undefined
}

function loadOf (headers: IncomingHttpHeaders): IEndpointLoad | undefined {
  return decodeLoad(singleHeader(headers, NODE_HEADER.load))
}
