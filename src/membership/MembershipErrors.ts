/** Errors of the membership module. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** Thrown if no stream to a peer could be opened. */
export class PeerUnreachableError extends SavoryknotError {}

/** Thrown if a peer violated the protocol. */
export class PeerProtocolError extends SavoryknotError {}

/** Thrown if a peer refused the join; `otherAddresses` are alternative contacts returned by the peer. */
export class JoinRefusedError extends SavoryknotError {
  constructor (reason: string, peer: string, public readonly otherAddresses: readonly string[]) {
    super(`join refused: ${reason}`, { step: 'membership.join', peer })
  }
}
