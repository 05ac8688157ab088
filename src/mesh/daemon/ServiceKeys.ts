/** Service keys of the components of a mesh node in the kernel, in addition to those of `Services.ts`. */
import { createServiceKey, type IService } from '../../common/Services.js'
import type { IPeerTransport } from '../../membership/Services.js'
import type { IChangeFeed, ITableService } from '../../platform/Services.js'
import type { CallerPort } from '../calls/CallerPort.js'
import type { EndpointDirectory } from '../calls/EndpointDirectory.js'
import type { RetryBudgetShare } from '../calls/RetryBudgetShare.js'
import type { CrashRegistry } from '../crashes/CrashRegistry.js'
import type { EndpointGate } from '../endpoint/EndpointGate.js'
import type { GateServer } from '../endpoint/GateServer.js'
import type { LocalEndpoint } from '../endpoint/LocalEndpoint.js'
import type { RegistrationService } from '../endpoint/RegistrationService.js'
import type { NodeQueries } from '../exchange/NodeQueries.js'
import type { RequestBodyBudget } from '../exchange/RequestBodyBudget.js'
import type { ResponseBufferBudget } from '../exchange/ResponseBufferBudget.js'
import type { IEndpointAuthority } from '../Services.js'
import type { NodeTable } from '../view/NodeTable.js'

export const MESH_KEY = Object.freeze({
  store: createServiceKey<ITableService & IChangeFeed>('mesh.store'),
  transport: createServiceKey<IPeerTransport>('mesh.transport'),
  responseBuffers: createServiceKey<ResponseBufferBudget>('mesh.response-buffers'),
  requestBodies: createServiceKey<RequestBodyBudget>('mesh.request-bodies'),
  nodes: createServiceKey<NodeTable>('mesh.nodes'),
  crashes: createServiceKey<CrashRegistry>('mesh.crashes'),
  authority: createServiceKey<IEndpointAuthority>('mesh.endpoint-authority'),
  endpoint: createServiceKey<LocalEndpoint>('mesh.endpoint'),
  registration: createServiceKey<RegistrationService>('mesh.registration'),
  gate: createServiceKey<EndpointGate>('mesh.gate'),
  gateServer: createServiceKey<GateServer>('mesh.gate-server'),
  nodeQueries: createServiceKey<NodeQueries>('mesh.questions'),
  directory: createServiceKey<EndpointDirectory>('mesh.directory'),
  retryBudget: createServiceKey<RetryBudgetShare>('mesh.allowance'),
  callerPort: createServiceKey<CallerPort>('mesh.caller-port'),
  controlPort: createServiceKey<IService>('mesh.control-port'),
  metricsServer: createServiceKey<IService>('mesh.metrics-server'),
  eventLoopDelayMonitor: createServiceKey<IService>('mesh.event-loop-watch')
})
