/** Connections to the gates of other nodes. */
import type { SecureContextOptions } from 'node:tls'
import { Pool } from 'undici'
import type { IClockService, IInvariantService, ILogService } from '../common/Services.js'
import type { NetworkAddress, NodeId } from '../common/Types.js'
import type { ICallTarget } from '../gate/Types.js'
import type { IRoutableEndpoint } from '../membership/Types.js'
import { RemoteGate } from './RemoteGate.js'
import type { IRemoteGates, ISettleClient } from './Types.js'
import { WarmingHandler } from './WarmingHandler.js'

/** Limits of the connections to one gate. */
export interface IRemoteGatesLimits {
  /** Most connections to one gate; further calls wait for one of them. */
  readonly connectionLimit: number
  readonly connectTimeoutMs: number
  /** Time after which an unused connection is closed. */
  readonly idleTimeoutMs: number
  /** Largest head of an answer. */
  readonly headerLimitBytes: number
}

/** Defaults of `RemoteGates`. */
export const DEFAULT_REMOTE_GATES_LIMITS: IRemoteGatesLimits = Object.freeze({
  connectionLimit: 64,
  connectTimeoutMs: 1_000,
  idleTimeoutMs: 60_000,
  headerLimitBytes: 32_768
})

/** What the remote gates need. */
export interface IRemoteGatesOptions extends Partial<IRemoteGatesLimits> {
  readonly settleClient: ISettleClient
  readonly clock: IClockService
  readonly log: ILogService
  readonly invariants: IInvariantService
  /** Certificate, key and authority; without them connections are in plain text. */
  readonly tls?: SecureContextOptions
}

interface IGateEntry {
  readonly pool: Pool
  readonly gate: ICallTarget
  readonly address: NetworkAddress
}

/** One pool of connections for each gate that was called. */
export class RemoteGates implements IRemoteGates {
  private readonly _entries = new Map<NodeId, IGateEntry>()
  private readonly _options: IRemoteGatesOptions & IRemoteGatesLimits

  constructor (options: IRemoteGatesOptions) {
    this._options = { ...DEFAULT_REMOTE_GATES_LIMITS, ...options }
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

  private _open (endpoint: IRoutableEndpoint): IGateEntry {
    const { tls, connectionLimit, connectTimeoutMs, idleTimeoutMs, headerLimitBytes } = this._options
    const scheme = tls === undefined ? 'http' : 'https'
    const pool = new Pool(`${scheme}://${endpoint.gateAddress}`, {
      connections: connectionLimit,
      pipelining: 1,
      keepAliveTimeout: idleTimeoutMs,
      keepAliveMaxTimeout: idleTimeoutMs,
      maxHeaderSize: headerLimitBytes,
      connect: { ...tls, timeout: connectTimeoutMs, noDelay: true }
    })
    const gate = new RemoteGate({ ...this._options, pool, node: endpoint.node, peer: endpoint.gateAddress })
    return { pool, gate, address: endpoint.gateAddress }
  }
}

/** Closes a pool after its exchanges; a pool that was closed before is left as it is. */
async function closePool (pool: Pool): Promise<void> {
  await pool.close().catch(() => undefined)
}
