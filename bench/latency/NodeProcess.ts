/** Process of a node: caller front and router, and a gate with its server. */
import type { EndpointId, NetworkAddress, NodeId } from '../../src/common/Types.js'
import { GateServer } from '../../src/gate/GateServer.js'
import { GateService } from '../../src/gate/GateService.js'
import { EmbeddedObjectStore } from '../../src/platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../../src/platform/EmbeddedTableService.js'
import { CallerFront } from '../../src/routing/CallerFront.js'
import { RemoteGates } from '../../src/routing/RemoteGates.js'
import { RouterService } from '../../src/routing/RouterService.js'
import { SERVICE } from '../../testing/RoutingFixtures.js'
import { serveBenchProcess } from './BenchProcess.js'
import { createFoundation, createSnapshots, LOCATION, NO_SETTLEMENT, StaticMembership, type IStaticEndpoint } from './StaticMesh.js'

/** Settings of a node process. */
export interface INodeSettings {
  readonly id: string
  /** Address of the upstream of this node, if it has one. */
  readonly upstream?: string
  /** Address of the gate server; must be known before the server listens. */
  readonly gateAddress: string
  readonly endpoints: readonly IStaticEndpoint[]
}

/** Starts the node and reports the addresses on which it listens. */
async function main (settings: INodeSettings): Promise<void> {
  const foundation = createFoundation()
  const snapshots = createSnapshots()
  const membership = new StaticMembership(settings.id, settings.endpoints)
  const upstreams = settings.upstream === undefined
    ? []
    : [{ service: SERVICE, endpoint: 'endpoint-0' as EndpointId, address: settings.upstream as NetworkAddress }]
  const gate = new GateService({
    ...foundation, membership, snapshots, table: new EmbeddedTableService(), objects: new EmbeddedObjectStore(), upstreams
  })
  gate.start()
  const server = new GateServer({ ...foundation, gate, snapshots, address: settings.gateAddress as NetworkAddress })
  await server.start()
  const remoteGates = new RemoteGates({ ...foundation, settleClient: NO_SETTLEMENT })
  const router = new RouterService({
    ...foundation, membership, snapshots, remoteGates, location: LOCATION, self: settings.id as NodeId, localGate: gate
  })
  const front = new CallerFront({ ...foundation, router, host: '127.0.0.1', port: 0 })
  await front.start()
  serveBenchProcess({ front: front.address, gate: server.address })
}

await main(JSON.parse(process.argv[2] ?? '{}') as INodeSettings)
