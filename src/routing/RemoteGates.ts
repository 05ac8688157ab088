/** Connections to the gates of other nodes. */
import type { PeerCertificate } from 'node:tls'
import { buildConnector, Pool } from 'undici'
import { checkNodeCertificate } from '../common/CertificateIdentity.js'
import type { IClockService, IInvariantService, ILogService } from '../common/Services.js'
import type { IDisposable, NetworkAddress, NodeId } from '../common/Types.js'
import type { ICallTarget } from '../gate/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import { RemoteGate } from './RemoteGate.js'
import type { INodeKeys, IRemoteGates, ISettleClient } from './Types.js'
import { WarmingHandler } from './WarmingHandler.js'

/** Limits of the connections to one gate. */
export interface IRemoteGatesLimits {
  /** Maximum number of connections to one gate; further calls wait for a free connection. */
  readonly connectionLimit: number
  readonly connectTimeoutMs: number
  /** Time after which an idle connection is closed. */
  readonly idleTimeoutMs: number
  /** Maximum size of the head of a response. */
  readonly headerLimitBytes: number
}

/** Defaults of `RemoteGates`. */
export const DEFAULT_REMOTE_GATES_LIMITS: IRemoteGatesLimits = Object.freeze({
  connectionLimit: 64,
  connectTimeoutMs: 1_000,
  idleTimeoutMs: 60_000,
  headerLimitBytes: 32_768
})

/** Dependencies and limits of `RemoteGates`. */
export interface IRemoteGatesOptions extends Partial<IRemoteGatesLimits> {
  readonly settleClient: ISettleClient
  readonly clock: IClockService
  readonly log: ILogService
  readonly invariants: IInvariantService
  /** Without keys, connections are unencrypted. */
  readonly keys?: INodeKeys
}

interface IGateEntry {
  readonly pool: Pool
  readonly gate: ICallTarget
  readonly address: NetworkAddress
}

/** Manages one connection pool for each gate. */
export class RemoteGates implements IRemoteGates {
  private readonly _entries = new Map<NodeId, IGateEntry>()
  private readonly _options: IRemoteGatesOptions & IRemoteGatesLimits

  private readonly _reloadListener: IDisposable | undefined
  private _connector: buildConnector.connector

  constructor (options: IRemoteGatesOptions) {
    this._options = { ...DEFAULT_REMOTE_GATES_LIMITS, ...options }
    this._connector = this._buildConnector()
    // Open connections keep the keys with which they were established.
    this._reloadListener = options.keys?.onReloaded(() => { this._connector = this._buildConnector() })
  }

  public target (endpoint: IRoutableEndpoint): ICallTarget {
    return this._entry(endpoint).gate
  }

  public warm (endpoint: IRoutableEndpoint): void {
    const { pool } = this._entry(endpoint)
    if (pool.stats.connected > 0) return
    pool.dispatch({ path: '/', method: 'OPTIONS', idempotent: false }, new WarmingHandler())
  }

  public retain (addresses: ReadonlySet<NetworkAddress>): void {
    for (const [node, entry] of this._entries) {
      if (addresses.has(entry.address)) continue
      this._entries.delete(node)
      closePool(entry.pool)
    }
  }

  public async close (): Promise<void> {
    const entries = [...this._entries.values()]
    this._entries.clear()
    await Promise.all(entries.map((entry) => closePool(entry.pool)))
  }

  public dispose (): void {
    this._reloadListener?.dispose()
    for (const entry of this._entries.values()) entry.pool.destroy().catch(() => undefined)
    this._entries.clear()
  }

  private _entry (endpoint: IRoutableEndpoint): IGateEntry {
    const known = this._entries.get(endpoint.node)
    if (known !== undefined && known.address === endpoint.gateAddress) return known
    if (known !== undefined) closePool(known.pool)
    const entry = this._open(endpoint)
    this._entries.set(endpoint.node, entry)
    return entry
  }

  private _buildConnector (): buildConnector.connector {
    const { keys, connectTimeoutMs } = this._options
    if (keys === undefined) return buildConnector({ timeout: connectTimeoutMs })
    const { certificate, key, authority } = keys.material
    return buildConnector({
      timeout: connectTimeoutMs,
      cert: certificate,
      key,
      ca: authority,
      rejectUnauthorized: true,
      checkServerIdentity: (_host: string, presented: PeerCertificate) => checkNodeCertificate(presented)
    })
  }

  private _open (endpoint: IRoutableEndpoint): IGateEntry {
    const { keys, connectionLimit, idleTimeoutMs, headerLimitBytes } = this._options
    const scheme = keys === undefined ? 'http' : 'https'
    const pool = new Pool(`${scheme}://${endpoint.gateAddress}`, {
      connections: connectionLimit,
      pipelining: 1,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      maxHeaderSize: headerLimitBytes,
      connect: (target, callback) => this._connector(target, callback)
    })
    const gate = new RemoteGate({ ...this._options, pool, node: endpoint.node, peer: endpoint.gateAddress })
    return { pool, gate, address: endpoint.gateAddress }
  }
}

/** Closes a pool after its exchanges in flight; does nothing if the pool is already closed. */
async function closePool (pool: Pool): Promise<void> {
  await pool.close().catch(() => undefined)
}
