/** For tests that are not about messages of other writers. */
import type { IEndpointAuthority } from '../../src/mesh/Services.js'

/** Takes every message for one of the endpoint of the VM. */
export const ANY_ENDPOINT: IEndpointAuthority = Object.freeze({ faultOf: () => undefined })
