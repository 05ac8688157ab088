/** Registers membership and distribution with a kernel. */
import {
  createServiceKey, IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, type IKernel, type IServiceKey
} from '../common/Services.js'
import { IAcceptedDocuments, ISnapshotBuilder } from '../documents/Services.js'
import { MembershipStack, type IMembershipStackOptions } from '../membership/MembershipStack.js'
import { IBroadcastService, IMembershipService, IOverlayService, IPeerTransport, IRoleService } from '../membership/Services.js'
import { IObjectStore } from '../platform/Services.js'
import { AnnounceService, type IAnnounceServiceOptions } from './AnnounceService.js'
import { CatchUpService, type ICatchUpServiceOptions } from './CatchUpService.js'
import { HeldDocuments, IHeldDocuments, type IHeldDocumentsOptions } from './HeldDocuments.js'
import { type IReportServiceOptions, ReportService } from './reports/ReportService.js'
import { IAnnounceService, ICatchUpService, IReportService, ISnapshotService, ISourceService } from './Services.js'
import { SnapshotService } from './SnapshotService.js'
import { type ISourceReaderOptions, SourceReader } from './SourceReader.js'

/** Settings of the control plane; an omitted setting keeps its default. */
export interface IControlPlaneOptions {
  readonly self: IMembershipStackOptions['self']
  readonly membership?: IMembershipStackOptions['membership']
  readonly overlay?: IMembershipStackOptions['overlay']
  readonly recordExchange?: IMembershipStackOptions['recordExchange']
  readonly bootstrap?: IMembershipStackOptions['bootstrap']
  readonly held?: Partial<IHeldDocumentsOptions>
  readonly announce?: Partial<IAnnounceServiceOptions>
  readonly source?: Partial<ISourceReaderOptions>
  readonly catchUp?: Partial<ICatchUpServiceOptions>
  readonly reports?: Partial<IReportServiceOptions>
}

/** Services of membership/, created and started together. */
export const IMembershipStack = createServiceKey<MembershipStack>('membership.stack')

/** Dependencies of every service of the control plane. */
const COMMON: ReadonlyArray<IServiceKey<object>> = [IClockService, IRandomService, ILogService, IMetricsService, IInvariantService]

/** Additional dependencies of the services that exchange messages with peers. */
const MEMBERS: ReadonlyArray<IServiceKey<object>> = [IOverlayService, IMembershipService, IRoleService]

/** The services listed in `COMMON`, as options. */
function commonOptions (kernel: IKernel): Pick<IAnnounceServiceOptions, 'clock' | 'random' | 'log' | 'metrics'> & { invariants: IInvariantService } {
  return {
    clock: kernel.get(IClockService),
    random: kernel.get(IRandomService),
    log: kernel.get(ILogService),
    metrics: kernel.get(IMetricsService),
    invariants: kernel.get(IInvariantService)
  }
}

/**
 * Registers the services of membership and distribution. Their dependencies must be registered with the kernel as well, before or
 * after this call: the services of `common/Services.ts`, the transport, the object store, the accepted documents and the snapshot
 * builder. The node may serve requests once `ICatchUpService.completed` has resolved.
 */
export function registerControlPlane (kernel: IKernel, options: IControlPlaneOptions): void {
  registerMembership(kernel, options)
  registerDocuments(kernel, options)
  registerSources(kernel, options)
  registerReports(kernel, options)
}

function registerMembership (kernel: IKernel, options: IControlPlaneOptions): void {
  kernel.register({
    key: IMembershipStack,
    dependsOn: [...COMMON, IPeerTransport, IObjectStore],
    create: () => new MembershipStack({
      ...commonOptions(kernel),
      self: options.self,
      transport: kernel.get(IPeerTransport),
      objects: kernel.get(IObjectStore),
      membership: options.membership,
      overlay: options.overlay,
      recordExchange: options.recordExchange,
      bootstrap: options.bootstrap
    })
  })
  registerPart(kernel, IMembershipService, (stack) => stack.membership)
  registerPart(kernel, IRoleService, (stack) => stack.roles)
  registerPart(kernel, IOverlayService, (stack) => stack.overlay)
  registerPart(kernel, IBroadcastService, (stack) => stack.broadcast)
}

/** Registers one service of the membership stack under its own key; the stack starts and stops it. */
function registerPart<TService extends object> (
  kernel: IKernel, key: IServiceKey<TService>, select: (stack: MembershipStack) => TService
): void {
  kernel.register({ key, dependsOn: [IMembershipStack], isStartedByOwner: true, create: () => select(kernel.get(IMembershipStack)) })
}

function registerDocuments (kernel: IKernel, options: IControlPlaneOptions): void {
  kernel.register({
    key: IHeldDocuments,
    dependsOn: [ILogService],
    create: () => new HeldDocuments({ log: kernel.get(ILogService), ...options.held })
  })
  kernel.register({
    key: ISnapshotService,
    dependsOn: [...COMMON, IHeldDocuments, ISnapshotBuilder],
    create: () => new SnapshotService({
      ...commonOptions(kernel),
      held: kernel.get(IHeldDocuments),
      builder: kernel.get(ISnapshotBuilder)
    })
  })
  kernel.register({
    key: IAnnounceService,
    dependsOn: [...COMMON, ...MEMBERS, IHeldDocuments, ISnapshotService],
    create: () => new AnnounceService({
      ...commonOptions(kernel),
      ...memberOptions(kernel),
      ...documentOptions(kernel),
      ...options.announce
    })
  })
}

function registerSources (kernel: IKernel, options: IControlPlaneOptions): void {
  const dependsOn = [...COMMON, ...MEMBERS, IHeldDocuments, ISnapshotService, IAnnounceService, IAcceptedDocuments]
  kernel.register({
    key: ICatchUpService,
    dependsOn,
    create: () => new CatchUpService({ ...sourceOptions(kernel), ...options.catchUp })
  })
  kernel.register({
    key: ISourceService,
    dependsOn,
    create: () => new SourceReader({ ...sourceOptions(kernel), ...options.source })
  })
}

function registerReports (kernel: IKernel, options: IControlPlaneOptions): void {
  kernel.register({
    key: IReportService,
    dependsOn: [...COMMON, ...MEMBERS, ISnapshotService, IObjectStore],
    create: () => new ReportService({
      ...commonOptions(kernel),
      ...memberOptions(kernel),
      snapshots: kernel.get(ISnapshotService),
      objects: kernel.get(IObjectStore),
      ...options.reports
    })
  })
}

function memberOptions (kernel: IKernel): Pick<IAnnounceServiceOptions, 'overlay' | 'membership' | 'roles'> {
  return { overlay: kernel.get(IOverlayService), membership: kernel.get(IMembershipService), roles: kernel.get(IRoleService) }
}

function documentOptions (kernel: IKernel): Pick<IAnnounceServiceOptions, 'held' | 'snapshots'> {
  return { held: kernel.get(IHeldDocuments), snapshots: kernel.get(ISnapshotService) }
}

function sourceOptions (kernel: IKernel): Omit<IAnnounceServiceOptions, 'timing' | 'pull' | 'pullDelay' | 'usesDeltas'> &
  Pick<ICatchUpServiceOptions, 'accepted' | 'announce'> {
  return {
    ...commonOptions(kernel),
    ...memberOptions(kernel),
    ...documentOptions(kernel),
    accepted: kernel.get(IAcceptedDocuments),
    announce: kernel.get(IAnnounceService)
  }
}
