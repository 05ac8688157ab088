/** Errors of membership/. */
import { SavoryknotError } from '../common/SavoryknotError.js'

/** No stream to a peer could be opened. */
export class PeerUnreachableError extends SavoryknotError {}

/** A peer sent something that breaks the protocol. */
export class PeerProtocolError extends SavoryknotError {}

/** A peer refused the join; `others` may be asked instead. */
export class JoinRefusedError extends SavoryknotError {
  constructor (reason: string, peer: string, public readonly others: readonly string[]) {
    super(`join refused: ${reason}`, { step: 'membership.join', peer })
  }
}
