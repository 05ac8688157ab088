/** Determines the service that a caller's request addresses. */
import type { IncomingHttpHeaders } from 'node:http'
import { isIP } from 'node:net'
import { isName } from '../common/Ids.js'
import type { ServiceName } from '../common/Types.js'
import { HEADER } from '../gate/Types.js'
import { singleHeader } from './ResponseHeaders.js'

/** Maximum number of cached host names. The cache is bounded because callers choose host names freely. */
const MAXIMUM_CACHED_HOSTS = 1_000

/** Reads the service from its header, or from the first label of the host name. */
export class ServiceResolver {
  private readonly _byHost = new Map<string, ServiceName | undefined>()

  /** Returns undefined if the headers name no service. */
  public resolve (headers: IncomingHttpHeaders): ServiceName | undefined {
    const named = singleHeader(headers, HEADER.service)
    if (named !== undefined) return toServiceName(named)
    const { host } = headers
    if (host === undefined) return undefined
    const known = this._byHost.get(host)
    if (known !== undefined || this._byHost.has(host)) return known
    const service = resolveHost(host)
    if (this._byHost.size < MAXIMUM_CACHED_HOSTS) this._byHost.set(host, service)
    return service
  }
}

function toServiceName (name: string | undefined): ServiceName | undefined {
  return name !== undefined && isName(name) ? name as ServiceName : undefined
}

function resolveHost (host: string): ServiceName | undefined {
  if (host.startsWith('[')) return undefined
  const name = host.replace(/:\d+$/, '')
  return isIP(name) === 0 ? toServiceName(name.split('.')[0]?.toLowerCase()) : undefined
}
