/** Decides whether a report or a stored record can belong to the endpoint of this VM. */
import type { NetworkAddress, ServiceName } from '../../common/Types.js'
import type { IConfigurationService, IEndpointAuthority } from '../Services.js'
import type { EndpointPlace } from '../Types.js'

/** What the settings of a node state about the endpoint on its VM. */
export interface IExpectedEndpoint {
  readonly service?: ServiceName | undefined
  readonly address?: NetworkAddress | undefined
}

/** Dependencies of `EndpointAuthority`. */
export interface IEndpointAuthorityOptions {
  /** According to the current settings. */
  readonly expected: () => IExpectedEndpoint
  readonly configuration: Pick<IConfigurationService, 'current'>
}

/** The settings take precedence over messages. Where they do not name the service, it has to be one of the configuration in force. */
export class EndpointAuthority implements IEndpointAuthority {
  constructor (private readonly _options: IEndpointAuthorityOptions) {}

  public faultOf ({ service, address }: EndpointPlace, isInUse: boolean): string | undefined {
    const expected = this._options.expected()
    if (expected.address !== undefined && address !== expected.address) return `its address is ${expected.address}`
    // A configuration that no longer has the service must not cost the drain of the endpoint.
    if (expected.service === undefined) return isInUse ? undefined : this._faultOfUnverifiedService(service)
    return service === expected.service ? undefined : `the VM runs service ${expected.service}`
  }

  private _faultOfUnverifiedService (service: ServiceName): string | undefined {
    const index = this._options.configuration.current
    if (index === undefined) return 'the service cannot be verified before the configuration is known'
    return index.configuration.services.has(service) ? undefined : 'the service is not in the configuration'
  }
}
