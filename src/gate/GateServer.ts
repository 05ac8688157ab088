/** HTTP server for calls from other nodes. */
import { createServer, type IncomingMessage, type RequestListener, type Server, type ServerOptions, type ServerResponse } from 'node:http'
import { createServer as createSecureServer, type Server as SecureServer } from 'node:https'
import type { AddressInfo } from 'node:net'
import type { TLSSocket } from 'node:tls'
import { checkNodeCertificate } from '../common/CertificateIdentity.js'
import { Disposable } from '../common/Disposable.js'
import type { IClockService, ILogService, IService } from '../common/Services.js'
import type { IEvent, NetworkAddress, ServiceName } from '../common/Types.js'
import type { ISnapshotService } from '../distribution/Services.js'
import { GATE_REQUEST_REFUSED } from './Events.js'
import { HeaderRules } from './HeaderRules.js'
import { HttpResponseSink } from './HttpResponseSink.js'
import { HttpInbound } from './HttpInbound.js'
import { readCall, readRequestId } from './InboundCall.js'
import type { IGateService } from './Services.js'
import { refusalResponse } from './Refusals.js'
import { HEADER, type CallOutcome } from './Types.js'
import { listenAt } from '../common/Listening.js'

/** Options of `GateServer`. */
export interface IGateServerOptions {
  readonly gate: IGateService
  readonly snapshots: ISnapshotService
  readonly clock: IClockService
  readonly log: ILogService
  /** Listen address; port 0 selects a free port. */
  readonly address: NetworkAddress
  /** Keys for mutual TLS; without them the server uses plain HTTP. */
  readonly keys?: IServerKeys
}

/** Certificate, private key and certificate authority, each in PEM format. */
export interface IServerKeyMaterial {
  readonly certificate: Buffer
  readonly key: Buffer
  readonly authority: Buffer
}

/** TLS keys that can be replaced while the server runs. */
export interface IServerKeys {
  readonly material: IServerKeyMaterial
  /** Fires with the new keys; connections that are already open are kept. */
  readonly onReloaded: IEvent<IServerKeyMaterial>
}

/** Maximum time to receive a request head, so that slow senders do not occupy connections. */
const HEAD_TIMEOUT_MS = 5_000
/** Maximum time to receive a complete request. */
const REQUEST_TIMEOUT_MS = 60_000
/** Longer than the idle timeout of the connection pools of other nodes, so that no connection is closed while a request is sent on it. */
const KEEP_ALIVE_TIMEOUT_MS = 120_000
const CONNECTION_CHECK_INTERVAL_MS = 1_000
const MAXIMUM_HEAD_BYTES = 24_576
const MAXIMUM_CONNECTIONS = 8_192

/** Receives calls from other nodes and passes them to the gate. */
export class GateServer extends Disposable implements IService {
  private readonly _options: IGateServerOptions
  private readonly _server: Server | SecureServer
  private readonly _headerRules = new HeaderRules({ maximumBytes: MAXIMUM_HEAD_BYTES })

  constructor (options: IGateServerOptions) {
    super()
    this._options = options
    const limits = {
      maxHeaderSize: MAXIMUM_HEAD_BYTES,
      headersTimeout: HEAD_TIMEOUT_MS,
      requestTimeout: REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MS,
      noDelay: true
    }
    const listener = (message: IncomingMessage, response: ServerResponse): void => {
      this._serve(message, response).catch(() => response.destroy())
    }
    const { keys } = options
    this._server = keys === undefined ? createServer(limits, listener) : this._createSecureServer(limits, keys, listener)
    this._server.maxConnections = MAXIMUM_CONNECTIONS
  }

  /** Address on which the server listens. */
  public get address (): NetworkAddress {
    const { address, family, port } = this._server.address() as AddressInfo
    return (family === 'IPv6' ? `[${address}]:${port}` : `${address}:${port}`) as NetworkAddress
  }

  /** Rejects if the server cannot listen on the address. */
  public async start (): Promise<void> {
    await listenAt(this._server, this._options.address)
  }

  /** Stops accepting connections; resolves when every request in flight has received its response. */
  public stop (): Promise<void> {
    this.dispose()
    return new Promise((resolve) => {
      this._server.close(() => { resolve() })
      this._server.closeIdleConnections()
    })
  }

  private _createSecureServer (limits: ServerOptions, keys: IServerKeys, listener: RequestListener): SecureServer {
    const server = createSecureServer({ ...limits, ...toContext(keys.material), requestCert: true, rejectUnauthorized: true }, listener)
    server.on('secureConnection', rejectNonNodeCertificate)
    this.register(keys.onReloaded((material) => { server.setSecureContext(toContext(material)) }))
    return server
  }

  private async _serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = readRequestId(message)
    const fault = this._headerRules.faultOf(message)
    if (fault !== undefined || requestId === undefined) {
      this._options.log.log(GATE_REQUEST_REFUSED, { step: 'gate.server', peer: message.socket.remoteAddress, reason: fault ?? 'request id' })
      this._refuse(response, { kind: 'not-run', reason: 'malformed', step: 'gate.server' }, [])
      return
    }
    const { clock, snapshots, gate } = this._options
    const arrivedAt = clock.now()
    const inbound = new HttpInbound(message, response)
    // Only calls with a body wait here; the others are not delayed by an event loop iteration.
    const content = inbound.body === undefined ? undefined : await inbound.readSmallBody()
    const read = readCall(inbound, content, snapshots.current, requestId, arrivedAt)
    if (!read.isValid) {
      this._refuse(response, { kind: 'not-run', reason: read.reason, step: 'gate.server' }, [HEADER.requestId, requestId])
      return
    }
    const additionalHeaders = (): string[] => this._meshFields('answered', read.call.targetService, requestId)
    const sink = new HttpResponseSink({ response, additionalHeaders })
    const outcome = await gate.execute(read.call, sink)
    if (sink.hasBegun || outcome.kind === 'answered') return
    const fields = this._meshFields(outcome.kind, read.call.targetService, requestId)
    this._refuse(response, outcome, fields)
  }

  /** Outcome, request id and occupancy as alternating header names and values. */
  private _meshFields (outcome: CallOutcome['kind'], service: ServiceName, requestId: string): string[] {
    const occupancy = this._options.gate.occupancy(service)
    const fields = [HEADER.outcome, outcome, HEADER.requestId, requestId]
    if (occupancy !== undefined) fields.push(HEADER.occupancy, `${occupancy.used + occupancy.queued}/${occupancy.slots}`)
    return fields
  }

  private _refuse (response: ServerResponse, outcome: CallOutcome, fields: readonly string[]): void {
    if (outcome.kind === 'answered' || response.destroyed) return
    const { status } = refusalResponse(outcome)
    const head = [...fields, HEADER.reason, outcome.reason, 'content-length', '0']
    if (!fields.includes(HEADER.outcome)) head.push(HEADER.outcome, outcome.kind)
    response.writeHead(status, head)
    response.end()
  }
}

function toContext (material: IServerKeyMaterial): { cert: Buffer, key: Buffer, ca: Buffer } {
  return { cert: material.certificate, key: material.key, ca: material.authority }
}

/** Closes a connection whose certificate is issued by the trusted authority but is not a node certificate. */
function rejectNonNodeCertificate (socket: TLSSocket): void {
  if (checkNodeCertificate(socket.getPeerCertificate()) !== undefined) socket.destroy()
}
