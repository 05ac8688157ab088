/** Test fixture: nodes whose endpoints end when they execute a certain request, and start again. */
import { MeshRig, type IClientRequest, type IClientResponse, type IRigNode } from './MeshRig.js'
import type { IExecutedRequest } from './EndpointStandIn.js'

/** Body of the request that ends each endpoint that executes it. */
export const CRASHING_BODY = 'ends each endpoint that executes it'
const REFUSED = 503
/** Time after which an endpoint that has ended accepts requests again, in milliseconds. */
const RESTART_DELAY_MS = 400

/** Four nodes in three failure domains, with one service. */
export class CrashRig {
  public readonly mesh = new MeshRig()
  /** Whether an endpoint ends when it executes the request. */
  public isCrashing: (run: IExecutedRequest) => boolean = ({ body }) => body === CRASHING_BODY
  private readonly _restarts = new Set<Promise<void>>()
  private _calls = 0

  public get nodes (): readonly IRigNode[] {
    return this.mesh.nodes
  }

  /** Number of times that endpoints have ended. */
  public get crashes (): number {
    return this.nodes.reduce((sum, { endpoint }) => sum + endpoint.crashes, 0)
  }

  public async start (kind: 'idempotent' | 'non_idempotent'): Promise<void> {
    await this.mesh.start([{ prefix: '/status/', service: 'status', kind }])
    for (const failureDomain of ['z1', 'z2', 'z3', 'z3']) this._observe(await this.mesh.startServing('status', failureDomain))
  }

  /** Sends a request with an ID of its own to one node. */
  public async send (node: IRigNode, request: IClientRequest): Promise<IClientResponse> {
    return await this.mesh.call(node, { method: 'PUT', path: '/status/1', id: `call-${this._calls++}`, ...request })
  }

  /** Sends the crashing request to all nodes at once, until it has ended `count` endpoints or all nodes refuse it. */
  public async crash (count: number): Promise<void> {
    const before = this.crashes
    while (this.crashes - before < count) {
      const responses = await Promise.all(this.nodes.map((node) => this.send(node, { body: CRASHING_BODY })))
      await this.waitForRestarts()
      if (responses.every(({ status }) => status === REFUSED)) return
    }
  }

  /** Resolves when each endpoint that has ended has reported its new incarnation. */
  public async waitForRestarts (): Promise<void> {
    while (this._restarts.size > 0) await Promise.all(this._restarts)
  }

  public async stop (): Promise<void> {
    await this.waitForRestarts()
    await this.mesh.stop()
  }

  private _observe (node: IRigNode): void {
    node.endpoint.onRun = (run) => {
      if (!this.isCrashing(run)) return
      const restart = this._restart(node).finally(() => this._restarts.delete(restart))
      this._restarts.add(restart)
    }
  }

  private async _restart (node: IRigNode): Promise<void> {
    await node.endpoint.crash(RESTART_DELAY_MS)
    const current = this.nodes.find(({ endpoint }) => endpoint === node.endpoint)
    if (current !== undefined) await this.mesh.report(current)
  }
}
