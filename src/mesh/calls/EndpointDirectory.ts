/** Endpoints and their nodes: what this node has observed of them, and the connections to them. */
import type { ICancellation } from '../../common/Cancellation.js'
import { Disposable, toDisposable } from '../../common/Disposable.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { Milliseconds, ServiceName, Timestamp } from '../../common/Types.js'
import { localityTier } from '../../routing/LocalityTiers.js'
import type { StorePosition } from '../../platform/Types.js'
import type { EndpointGate } from '../endpoint/EndpointGate.js'
import type { NodeQueries } from '../exchange/NodeQueries.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import type { INodeIdentity, INodeTable } from '../Services.js'
import type { AttemptOutcome, IEndpointLoad, IMeshCall, IMeshEndpoint, NodeName } from '../Types.js'
import { EndpointView } from './EndpointView.js'
import { RemoteNode } from './RemoteNode.js'

/** Dependencies of the directory. */
export interface IEndpointDirectoryOptions {
  readonly self: INodeIdentity
  readonly nodes: INodeTable
  readonly gate: EndpointGate
  readonly queries: NodeQueries
  /** Limits the memory of responses of other nodes. */
  readonly responseBuffers: ResponseBufferBudget
  readonly clock: IClockService
  readonly log: ILogService
}

const NO_WAIT = 0 as Milliseconds

/** Keeps the observations of each endpoint across changes of the node table. */
export class EndpointDirectory extends Disposable {
  private readonly _remotes = new Map<NodeName, RemoteNode>()
  private readonly _views = new Map<NodeName, EndpointView>()

  constructor (private readonly _options: IEndpointDirectoryOptions) {
    super()
    this.register(_options.nodes.onChanged(() => this._forgetDeregistered()))
    this.register(toDisposable(() => { for (const remote of this._remotes.values()) remote.dispose() }))
  }

  /** Closes the connections to other nodes. */
  public stop (): void {
    this.dispose()
  }

  /** Store position up to which the node table is known. */
  public get position (): StorePosition {
    return this._options.nodes.position
  }

  /** Number of known nodes. */
  public get nodes (): number {
    return this._options.nodes.nodes.size
  }

  /** Endpoints of a service that may be sent a request now. */
  public candidates (service: ServiceName, now: Timestamp): readonly EndpointView[] {
    const views: EndpointView[] = []
    for (const target of this._options.nodes.endpoints(service)) {
      if (this._remotes.get(target.node.node)?.isSuspect === true) continue
      const view = this._view(target)
      if (!view.isPaused(now)) views.push(view)
    }
    return views
  }

  /** Number of endpoints of a service, including those that currently get no requests. */
  public count (service: ServiceName): number {
    return this._options.nodes.endpoints(service).length
  }

  /** Runs one attempt at an endpoint and records its result. */
  public async execute (view: EndpointView, call: IMeshCall, expected: Milliseconds, cancellation: ICancellation): Promise<AttemptOutcome> {
    const { clock, gate, self } = this._options
    const startedAt = clock.now()
    const attempt = view.begin(startedAt)
    const isLocal = view.target.node.node === self.name
    const running = isLocal ? gate.execute(call, cancellation) : this._remote(view.target).execute(call, expected, cancellation)
    // An attempt that fails unexpectedly may have been sent; its caller still gets a response.
    const outcome = await running.catch((error: unknown): AttemptOutcome => ({ kind: 'unknown', reason: String(error) }))
    view.end(attempt)
    const now = clock.now()
    view.observe(outcome, now - startedAt as Milliseconds, now)
    if (outcome.kind === 'refused' && outcome.reason === 'overloaded') view.recordCapacityRefusal(call, outcome.retryAfter ?? NO_WAIT, now)
    return outcome
  }

  private _view (target: IMeshEndpoint): EndpointView {
    const known = this._views.get(target.node.node)
    const isSame = known?.target.endpoint.id === target.endpoint.id && known.target.endpoint.bornAt === target.endpoint.bornAt
    if (known !== undefined && isSame) {
      known.target = target
      return known
    }
    const view = new EndpointView(target, localityTier(this._options.self, target.node))
    this._views.set(target.node.node, view)
    return view
  }

  private _remote (target: IMeshEndpoint): RemoteNode {
    const { node: name, gateAddress } = target.node
    const known = this._remotes.get(name)
    if (known !== undefined && known.address === gateAddress) return known
    known?.dispose()
    const remote = new RemoteNode({
      ...this._options,
      name,
      address: gateAddress,
      onLoad: (load: IEndpointLoad, now: Timestamp) => this._views.get(name)?.observeLoad(load, now)
    })
    this._remotes.set(name, remote)
    return remote
  }

  /** Drops nodes that are no longer in the node table, and the observations of endpoints that do not accept requests. */
  private _forgetDeregistered (): void {
    const { nodes } = this._options.nodes
    for (const name of this._views.keys()) {
      const node = nodes.get(name)
      if (node === undefined || node.isLeaving || node.endpoint?.phase !== 'serving') this._views.delete(name)
    }
    for (const [name, remote] of this._remotes) {
      if (nodes.has(name)) continue
      remote.dispose()
      this._remotes.delete(name)
    }
  }
}
