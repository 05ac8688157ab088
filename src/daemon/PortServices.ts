/** Registers the ports for operators and for metrics. */
import type { IKernel } from '../common/Services.js'
import { IAcceptanceService, IAcceptedDocuments } from '../documents/Services.js'
import { ICatchUpService, IReportService, ISnapshotService, ISourceService } from '../distribution/Services.js'
import { IMembershipService } from '../membership/Services.js'
import { IBurnService } from '../routing/Services.js'
import { FOUNDATION, foundationOf } from './Foundation.js'
import { PLAINTEXT, type KeyService } from './keys/KeyService.js'
import { MetricsServer } from './MetricsServer.js'
import { CertificateAuthentication, NoAuthentication } from './OperatorAuthentication.js'
import { OperatorHandlers } from './OperatorHandlers.js'
import { OperatorService } from './OperatorService.js'
import { IMetricsServer, IOperatorService } from './Services.js'
import type { ISettings } from './settings/Types.js'

/** Dependencies of the operator and metrics ports. */
export interface IPortServicesOptions {
  readonly settings: ISettings
  readonly keys: KeyService | undefined
  readonly isReady: () => boolean
}

/** Registers both ports. They open before the node has caught up, so that operators can see what it is waiting for. */
export function registerPorts (kernel: IKernel, options: IPortServicesOptions): void {
  const { node } = options.settings
  kernel.register({
    key: IMetricsServer,
    dependsOn: FOUNDATION,
    create: () => new MetricsServer({ ...foundationOf(kernel), address: node['metrics-address'], isReady: options.isReady })
  })
  kernel.register({
    key: IOperatorService,
    dependsOn: [
      ...FOUNDATION, IAcceptanceService, IAcceptedDocuments, ISourceService, IReportService, ISnapshotService, ICatchUpService,
      IMembershipService, IBurnService
    ],
    create: () => new OperatorService({
      ...foundationOf(kernel),
      address: node['operator-address'],
      credentials: options.keys?.serverCredentials('operator') ?? PLAINTEXT.server(),
      authentication: options.keys === undefined ? new NoAuthentication() : new CertificateAuthentication(),
      handlers: createHandlers(kernel)
    })
  })
}

function createHandlers (kernel: IKernel): OperatorHandlers {
  return new OperatorHandlers({
    acceptance: kernel.get(IAcceptanceService),
    accepted: kernel.get(IAcceptedDocuments),
    listener: kernel.get(ISourceService),
    reports: kernel.get(IReportService),
    snapshots: kernel.get(ISnapshotService),
    catchUp: kernel.get(ICatchUpService),
    membership: kernel.get(IMembershipService),
    burn: kernel.get(IBurnService)
  })
}
