/** Determines the team of an operator from the client certificate of the connection. */
import type { ServerUnaryCall } from '@grpc/grpc-js'
import { readIdentity } from '../common/CertificateIdentity.js'
import type { TeamName } from '../common/Types.js'
import { ForbiddenError } from './OperatorErrors.js'
import type { IOperatorAuthentication } from './OperatorService.js'

/** Used if certificates are off, which the settings allow on loopback addresses only. */
export class NoAuthentication implements IOperatorAuthentication {
  public teamOf (): undefined {
    return undefined
  }
}

/** Requires an operator certificate. */
export class CertificateAuthentication implements IOperatorAuthentication {
  public teamOf (call: ServerUnaryCall<unknown, unknown>): TeamName {
    const identity = readIdentity(call.getAuthContext().sslPeerCertificate?.subjectaltname)
    if (identity?.kind === 'operator') return identity.team
    throw new ForbiddenError('an operator certificate is needed', { step: 'operator.authenticate', peer: call.getPeer() })
  }
}
