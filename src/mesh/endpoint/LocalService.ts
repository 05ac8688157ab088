/** The service of this VM, which endpoints are told as the caller of the requests that begin here. */
import type { ServiceName } from '../../common/Types.js'
import type { ILocalEndpoint, ILocalService } from '../Services.js'

/** Returns the service of the settings if they name one, else that of the endpoint; undefined if neither is known. */
export function localServiceOf (settingsService: ServiceName | undefined, endpoint: ILocalEndpoint): ILocalService | undefined {
  if (settingsService !== undefined) return { name: settingsService, source: 'settings' }
  if (endpoint.record === undefined) return undefined
  return { name: endpoint.record.service, source: endpoint.reportedAt === undefined ? 'stored-row' : 'report' }
}
