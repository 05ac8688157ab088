/** Which service a caller's request is for. */
import type { IncomingHttpHeaders } from 'node:http'
import { isIP } from 'node:net'
import { isName } from '../common/Ids.js'
import type { ServiceName } from '../common/Types.js'
import { HEADER } from '../gate/Types.js'
import { singleHeader } from './AnswerHeaders.js'

/** Host names whose service is remembered; callers choose them freely. */
const REMEMBERED_HOSTS = 1_000

/** Reads the service from its header, or from the first label of the host name. */
export class ServiceNaming {
  private readonly _byHost = new Map<string, ServiceName | undefined>()

  /** Undefined if no service is named. */
  public serviceOf (headers: IncomingHttpHeaders): ServiceName | undefined {
    const named = singleHeader(headers, HEADER.service)
    if (named !== undefined) return asService(named)
    const { host } = headers
    if (host === undefined) return undefined
    const known = this._byHost.get(host)
    if (known !== undefined || this._byHost.has(host)) return known
    const service = serviceOfHost(host)
    if (this._byHost.size < REMEMBERED_HOSTS) this._byHost.set(host, service)
    return service
  }
}

function asService (name: string | undefined): ServiceName | undefined {
  return name !== undefined && isName(name) ? name as ServiceName : undefined
}

function serviceOfHost (host: string): ServiceName | undefined {
  if (host.startsWith('[')) return undefined
  const name = host.replace(/:\d+$/, '')
  return isIP(name) === 0 ? asService(name.split('.')[0]?.toLowerCase()) : undefined
}
