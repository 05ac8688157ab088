/** Registers the components of a mesh node in the kernel. */
import { Gauge } from 'prom-client'
import { randomBytes, randomInt } from 'node:crypto'
import { InvariantService } from '../../common/InvariantService.js'
import { eventLoopIterations } from '../../common/EventLoopIterations.js'
import { MetricsService } from '../../common/MetricsService.js'
import { RandomService } from '../../common/RandomService.js'
import { IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, type IKernel } from '../../common/Services.js'
import type { Milliseconds } from '../../common/Types.js'
import { FOUNDATION, foundationOf, type IFoundation } from '../../daemon/Foundation.js'
import { MetricsServer } from '../../daemon/MetricsServer.js'
import { GrpcPeerTransport } from '../../membership/GrpcPeerTransport.js'
import { PlatformHttpClient } from '../../platform/PlatformHttpClient.js'
import { CallerPort } from '../calls/CallerPort.js'
import { EndpointDirectory } from '../calls/EndpointDirectory.js'
import { EndpointSelector } from '../calls/EndpointSelector.js'
import { RetryBudgetShare } from '../calls/RetryBudgetShare.js'
import { ConfigurationService } from '../configuration/ConfigurationService.js'
import { WeightedSplit } from '../configuration/WeightedSplit.js'
import { CrashRegistry } from '../crashes/CrashRegistry.js'
import { EndpointAuthority } from '../endpoint/EndpointAuthority.js'
import { EndpointGate } from '../endpoint/EndpointGate.js'
import { GateServer } from '../endpoint/GateServer.js'
import { LocalEndpoint } from '../endpoint/LocalEndpoint.js'
import { localServiceOf } from '../endpoint/LocalService.js'
import { RegistrationService } from '../endpoint/RegistrationService.js'
import { NodeQueries } from '../exchange/NodeQueries.js'
import { RequestBodyBudget, requestBodyLimit } from '../exchange/RequestBodyBudget.js'
import { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import { IConfigurationService, IViewService, type IMeshAdapter, type INodeControl, type INodeIdentity } from '../Services.js'
import { NodeTable } from '../view/NodeTable.js'
import { ViewService } from '../view/ViewService.js'
import type { IMeshSettings } from './MeshSettings.js'
import { EventLoopDelayMonitor } from './EventLoopDelayMonitor.js'
import { MESH_KEY } from './ServiceKeys.js'

/** Dependencies of the components of a mesh node. */
export interface IMeshServicesOptions {
  readonly adapter: IMeshAdapter
  readonly log: ILogService
  readonly clock: IClockService
  /** Current settings. Ports and bounds are read once at registration, all other settings on each use. */
  readonly settings: () => IMeshSettings
  readonly control: INodeControl
  /** True once the node has received the configuration and the list of nodes; stays true while the node stops. */
  readonly isServing: () => boolean
}

const RANDOM_SEED_BOUND = 2 ** 31
const TOKEN_BYTES = 6
/** Added to one heartbeat interval when waiting for the first report of the endpoint. */
const FIRST_REPORT_SLACK_MS = 500
const QUERY_TIMEOUT_MS = 350 as Milliseconds
const STORE_TIMEOUT_MS = 2_000 as Milliseconds
const STORE_CONNECTIONS = 4
const MICROSECONDS_PER_MILLISECOND = 1_000
const BYTES_PER_MEGABYTE = 1_000_000

/** Registers all components. The kernel creates and starts them in dependency order: the ports before the view. */
export function registerMesh (kernel: IKernel, options: IMeshServicesOptions): void {
  registerFoundation(kernel, options)
  registerEventLoopDelayMonitor(kernel)
  registerView(kernel, options)
  registerCrashes(kernel, options)
  registerEndpoint(kernel, options)
  registerCalls(kernel, options)
  registerPorts(kernel, options)
}

/** Time within which a serving endpoint has sent its first report to a newly started process. */
export function firstReportWait ({ bounds }: IMeshSettings): Milliseconds {
  return bounds.heartbeat + FIRST_REPORT_SLACK_MS as Milliseconds
}

function registerFoundation (kernel: IKernel, { log, clock }: IMeshServicesOptions): void {
  kernel.register({ key: IClockService, dependsOn: [], create: () => clock })
  kernel.register({ key: IRandomService, dependsOn: [], create: () => new RandomService(randomInt(RANDOM_SEED_BOUND)) })
  kernel.register({ key: ILogService, dependsOn: [], create: () => log })
  kernel.register({ key: IMetricsService, dependsOn: [], create: () => new MetricsService() })
  kernel.register({
    key: IInvariantService,
    dependsOn: [ILogService, IMetricsService],
    create: () => new InvariantService({ log, metrics: kernel.get(IMetricsService) })
  })
}

function registerEventLoopDelayMonitor (kernel: IKernel): void {
  kernel.register({
    key: MESH_KEY.eventLoopDelayMonitor,
    dependsOn: FOUNDATION,
    create: () => new EventLoopDelayMonitor({ ...foundationOf(kernel), processorTime, eventLoopIterations })
  })
}

function processorTime (): Milliseconds {
  const { user, system } = process.cpuUsage()
  return Math.round((user + system) / MICROSECONDS_PER_MILLISECOND) as Milliseconds
}

function registerView (kernel: IKernel, { adapter, settings }: IMeshServicesOptions): void {
  const { mesh, store } = settings()
  kernel.register({
    key: MESH_KEY.store,
    dependsOn: FOUNDATION,
    create: () => adapter.createStore(new PlatformHttpClient(foundationOf(kernel), {
      url: `http://${store.address}`, requestTimeout: STORE_TIMEOUT_MS, connections: STORE_CONNECTIONS
    }), kernel.get(ILogService))
  })
  kernel.register({
    key: IConfigurationService,
    dependsOn: FOUNDATION,
    create: () => new ConfigurationService({ ...foundationOf(kernel), decoder: adapter.decoder })
  })
  kernel.register({
    key: MESH_KEY.nodes,
    dependsOn: [...FOUNDATION, IConfigurationService],
    create: () => {
      const configuration = kernel.get(IConfigurationService)
      return new NodeTable({ ...foundationOf(kernel), services: () => configuration.current?.configuration.services })
    }
  })
  kernel.register({
    key: MESH_KEY.transport,
    dependsOn: FOUNDATION,
    isStartedByOwner: true,
    create: () => new GrpcPeerTransport({ ...foundationOf(kernel), address: mesh['peer-address'] })
  })
  kernel.register({
    key: IViewService,
    // The ports open first, so that the platform and the endpoint get responses while the node is still loading its view.
    dependsOn: [
      MESH_KEY.store, IConfigurationService, MESH_KEY.nodes, MESH_KEY.transport, MESH_KEY.gateServer, MESH_KEY.callerPort,
      MESH_KEY.controlPort, MESH_KEY.metricsServer
    ],
    create: () => {
      const view = new ViewService({
        ...commonOf(kernel, settings()),
        configuration: kernel.get(IConfigurationService),
        nodes: kernel.get(MESH_KEY.nodes),
        feed: kernel.get(MESH_KEY.store),
        configurationRow: adapter.configurationRow,
        transport: kernel.get(MESH_KEY.transport)
      })
      kernel.get(MESH_KEY.gateServer).onPeerRequest((address) => view.addPeerAddress(address))
      return view
    }
  })
}

function registerCrashes (kernel: IKernel, { settings }: IMeshServicesOptions): void {
  kernel.register({
    key: MESH_KEY.crashes,
    dependsOn: [...FOUNDATION, MESH_KEY.nodes],
    create: () => {
      const { clock, ...foundation } = foundationOf(kernel)
      const nodes = kernel.get(MESH_KEY.nodes)
      const crashes = new CrashRegistry({ ...foundation, clock, self: settings().mesh.node })
      nodes.onChanged(({ rows }) => {
        for (const row of rows) {
          const node = nodes.nodeIn(row)
          // The row of a node that was removed, or that is not used, leaves its crashes as they were.
          if (node !== undefined) crashes.applyReport(node.node, node.crashReport, clock.now())
        }
      })
      return crashes
    }
  })
}

function registerEndpoint (kernel: IKernel, { adapter, settings }: IMeshServicesOptions): void {
  const { mesh } = settings()
  kernel.register({
    key: MESH_KEY.authority,
    dependsOn: [IConfigurationService],
    create: () => new EndpointAuthority({
      expected: () => ({ service: settings().mesh.service, address: settings().mesh['endpoint-address'] }),
      configuration: kernel.get(IConfigurationService)
    })
  })
  kernel.register({
    key: MESH_KEY.endpoint,
    dependsOn: [...FOUNDATION, MESH_KEY.authority],
    create: () => new LocalEndpoint({ authority: kernel.get(MESH_KEY.authority), log: kernel.get(ILogService) })
  })
  kernel.register({
    key: MESH_KEY.registration,
    dependsOn: [MESH_KEY.endpoint, MESH_KEY.nodes, MESH_KEY.crashes, MESH_KEY.store],
    create: () => new RegistrationService({
      ...commonOf(kernel, settings()),
      gateAddress: mesh['gate-address'],
      peerAddress: mesh['peer-address'],
      endpoint: kernel.get(MESH_KEY.endpoint),
      nodes: kernel.get(MESH_KEY.nodes),
      crashes: kernel.get(MESH_KEY.crashes),
      table: kernel.get(MESH_KEY.store),
      firstReportWait: firstReportWait(settings())
    })
  })
  kernel.register({ key: MESH_KEY.responseBuffers, dependsOn: FOUNDATION, create: () => createResponseBuffers(kernel) })
  kernel.register({ key: MESH_KEY.requestBodies, dependsOn: FOUNDATION, create: () => createRequestBodies(kernel, settings()) })
  kernel.register({
    key: MESH_KEY.gate,
    dependsOn: [MESH_KEY.endpoint, MESH_KEY.crashes, MESH_KEY.responseBuffers, IConfigurationService],
    create: () => new EndpointGate({
      ...foundationOf(kernel),
      endpoint: kernel.get(MESH_KEY.endpoint),
      configuration: kernel.get(IConfigurationService),
      crashes: kernel.get(MESH_KEY.crashes),
      format: adapter.format,
      responseBuffers: kernel.get(MESH_KEY.responseBuffers)
    })
  })
  kernel.register({
    key: MESH_KEY.gateServer,
    dependsOn: [MESH_KEY.gate, MESH_KEY.requestBodies],
    create: () => new GateServer({
      ...foundationOf(kernel),
      gate: kernel.get(MESH_KEY.gate),
      format: adapter.format,
      responseBuffers: kernel.get(MESH_KEY.responseBuffers),
      requestBodies: kernel.get(MESH_KEY.requestBodies),
      address: mesh['gate-address'],
      processToken: randomBytes(TOKEN_BYTES).toString('hex')
    })
  })
}

function registerCalls (kernel: IKernel, { adapter, settings, isServing }: IMeshServicesOptions): void {
  const { mesh, bounds } = settings()
  kernel.register({
    key: MESH_KEY.nodeQueries,
    dependsOn: FOUNDATION,
    create: () => new NodeQueries({ clock: kernel.get(IClockService), peerAddress: mesh['peer-address'], timeout: QUERY_TIMEOUT_MS })
  })
  kernel.register({
    key: MESH_KEY.directory,
    dependsOn: [MESH_KEY.nodes, MESH_KEY.gate, MESH_KEY.nodeQueries],
    create: () => new EndpointDirectory({
      ...commonOf(kernel, settings()),
      nodes: kernel.get(MESH_KEY.nodes),
      gate: kernel.get(MESH_KEY.gate),
      queries: kernel.get(MESH_KEY.nodeQueries),
      responseBuffers: kernel.get(MESH_KEY.responseBuffers)
    })
  })
  kernel.register({
    key: MESH_KEY.retryBudget,
    dependsOn: [],
    create: () => new RetryBudgetShare({ ratio: bounds['retry-share'], slack: bounds['retry-slack'], window: bounds['retry-window'] })
  })
  kernel.register({
    key: MESH_KEY.callerPort,
    dependsOn: [MESH_KEY.directory, MESH_KEY.retryBudget, MESH_KEY.crashes, MESH_KEY.requestBodies, IConfigurationService],
    create: () => new CallerPort({
      ...foundationOf(kernel),
      address: mesh['caller-address'],
      configuration: kernel.get(IConfigurationService),
      format: adapter.format,
      directory: kernel.get(MESH_KEY.directory),
      responseBuffers: kernel.get(MESH_KEY.responseBuffers),
      requestBodies: kernel.get(MESH_KEY.requestBodies),
      split: new WeightedSplit(kernel.get(IRandomService)),
      endpointSelector: new EndpointSelector(kernel.get(IRandomService)),
      retryBudget: kernel.get(MESH_KEY.retryBudget),
      crashes: kernel.get(MESH_KEY.crashes),
      isReady: isServing,
      viewConfirmedAt: () => kernel.get(IViewService).confirmedAt,
      localService: () => localServiceOf(settings().mesh.service, kernel.get(MESH_KEY.endpoint))
    })
  })
}

function registerPorts (kernel: IKernel, { adapter, settings, control, log }: IMeshServicesOptions): void {
  const { mesh } = settings()
  kernel.register({
    key: MESH_KEY.controlPort,
    dependsOn: [MESH_KEY.registration],
    create: () => adapter.createControlPort({ control, readyAddress: mesh['ready-address'], controlAddress: mesh['control-address'], log })
  })
  kernel.register({
    key: MESH_KEY.metricsServer,
    dependsOn: FOUNDATION,
    create: () => new MetricsServer({ address: mesh['metrics-address'], metrics: kernel.get(IMetricsService), isReady: () => control.isReady })
  })
}

function createResponseBuffers (kernel: IKernel): ResponseBufferBudget {
  const buffers = new ResponseBufferBudget()
  const gauge: Gauge = new Gauge({
    name: 'savoryknot_response_buffer_bytes',
    help: 'Responses that are being received, or sent and larger than 16 KiB. Unit: bytes.',
    registers: [kernel.get(IMetricsService).registry],
    collect: () => gauge.set(buffers.bytes)
  })
  return buffers
}

function createRequestBodies (kernel: IKernel, { mesh }: IMeshSettings): RequestBodyBudget {
  const bodies = new RequestBodyBudget({ limit: requestBodyLimit(mesh.memory * BYTES_PER_MEGABYTE) })
  const registers = [kernel.get(IMetricsService).registry]
  const held: Gauge = new Gauge({
    name: 'savoryknot_request_body_bytes',
    help: 'Memory of the bodies of all requests in progress. Unit: bytes.',
    registers,
    collect: () => held.set(bodies.bytes)
  })
  const limit: Gauge = new Gauge({
    name: 'savoryknot_request_body_limit_bytes',
    help: 'Maximum memory of the bodies of all requests in progress. Unit: bytes.',
    registers,
    collect: () => limit.set(bodies.limit)
  })
  const refused: Gauge = new Gauge({
    name: 'savoryknot_request_bodies_refused',
    help: 'Bodies since the start of the process that did not fit into the memory for request bodies.',
    registers,
    collect: () => refused.set(bodies.refusals)
  })
  return bodies
}

/** The foundation services, and the identity of this node. */
function commonOf (kernel: IKernel, { mesh }: IMeshSettings): IFoundation & { readonly self: INodeIdentity } {
  return { ...foundationOf(kernel), self: { name: mesh.node, failureDomain: mesh['failure-domain'], region: mesh.region } }
}
