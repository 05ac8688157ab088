/** Registers the services on the request path: gate, router and their HTTP ports. */
import type { IKernel, IServiceKey } from '../common/Services.js'
import type { NodeId } from '../common/Types.js'
import { IReportService, ISnapshotService } from '../distribution/Services.js'
import { GateServer } from '../gate/GateServer.js'
import { GateService } from '../gate/GateService.js'
import { DEFAULT_BODY_LIMITS } from '../gate/RouteLimits.js'
import { IGateService } from '../gate/Services.js'
import { IBroadcastService, IMembershipService } from '../membership/Services.js'
import { IObjectStore, ITableService } from '../platform/Services.js'
import { BurnService } from '../routing/BurnService.js'
import { CallerFront } from '../routing/CallerFront.js'
import { GrpcSettleClient } from '../routing/GrpcSettleClient.js'
import { RemoteGates } from '../routing/RemoteGates.js'
import { RouterService } from '../routing/RouterService.js'
import { IBurnService, IRouterService } from '../routing/Services.js'
import { FOUNDATION, foundationOf } from './Foundation.js'
import type { KeyService } from './keys/KeyService.js'
import { splitAddress } from '../common/HostPort.js'
import { ICallerFront, ICaughtUpService, IGateServer } from './Services.js'
import type { ISettings } from './settings/Types.js'

/** Dependencies of the services on the request path. */
export interface ICallServicesOptions {
  readonly settings: ISettings
  readonly id: NodeId
  readonly keys: KeyService | undefined
}

const VIEW_SERVICES: ReadonlyArray<IServiceKey<object>> = [...FOUNDATION, IMembershipService, ISnapshotService]

/** Registers all services between the caller port and the upstreams. */
export function registerCalls (kernel: IKernel, options: ICallServicesOptions): void {
  registerBurn(kernel)
  registerGate(kernel, options)
  registerRouter(kernel, options)
}

function registerBurn (kernel: IKernel): void {
  kernel.register({
    key: IBurnService,
    dependsOn: [...VIEW_SERVICES, IReportService],
    create: () => new BurnService({
      ...foundationOf(kernel),
      snapshots: kernel.get(ISnapshotService),
      reports: kernel.get(IReportService),
      location: kernel.get(IMembershipService).self
    })
  })
}

function registerGate (kernel: IKernel, { settings, keys }: ICallServicesOptions): void {
  kernel.register({
    key: IGateService,
    dependsOn: [...VIEW_SERVICES, IBroadcastService, ITableService, IObjectStore, ICaughtUpService],
    create: () => new GateService({
      ...foundationOf(kernel),
      membership: kernel.get(IMembershipService),
      snapshots: kernel.get(ISnapshotService),
      broadcast: kernel.get(IBroadcastService),
      table: kernel.get(ITableService),
      objects: kernel.get(IObjectStore),
      upstreams: settings.upstreams,
      settings: { bodyLimits: { ...DEFAULT_BODY_LIMITS, requestBytes: settings.limits['request-bytes'] } }
    })
  })
  kernel.register({
    key: IGateServer,
    dependsOn: [...VIEW_SERVICES, IGateService],
    create: () => new GateServer({
      ...foundationOf(kernel),
      gate: kernel.get(IGateService),
      snapshots: kernel.get(ISnapshotService),
      address: settings.node['gate-address'],
      keys
    })
  })
}

function registerRouter (kernel: IKernel, { settings, id, keys }: ICallServicesOptions): void {
  const location = { failureDomain: settings.node['failure-domain'], region: settings.node.region }
  kernel.register({
    key: IRouterService,
    dependsOn: [...VIEW_SERVICES, IGateService, IBurnService],
    create: () => {
      const common = foundationOf(kernel)
      const membership = kernel.get(IMembershipService)
      const settleClient = new GrpcSettleClient({ membership, channelCredentials: keys?.channelCredentials() })
      return new RouterService({
        ...common,
        membership,
        location,
        self: id,
        snapshots: kernel.get(ISnapshotService),
        localGate: kernel.get(IGateService),
        burn: kernel.get(IBurnService),
        remoteGates: new RemoteGates({ ...common, settleClient, keys })
      })
    }
  })
  kernel.register({
    key: ICallerFront,
    dependsOn: [...FOUNDATION, IRouterService, IGateServer],
    create: () => new CallerFront({
      ...foundationOf(kernel),
      ...splitAddress(settings.node['caller-address']),
      router: kernel.get(IRouterService),
      connectionLimit: settings.limits['caller-connections'],
      headersTimeoutMs: settings.limits['header-timeout'],
      headerRules: { maximumBytes: settings.limits['header-bytes'] }
    })
  })
}
