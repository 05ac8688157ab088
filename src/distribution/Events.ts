/** Events of distribution/, numbers 5000 to 5999. */
import type { EventLevel, IEventDefinition } from '../common/Services.js'

/** Makes one immutable definition. */
function define (number: number, name: string, level: EventLevel, meaning: string): IEventDefinition {
  return Object.freeze({ number, name, level, meaning })
}

export const SNAPSHOT_REPLACED = define(5001, 'snapshot-replaced', 'info',
  'New versions came into force on this node, all in one step.')
export const VERSION_REJECTED = define(5002, 'version-rejected', 'error',
  'A version was not applied; the one before it stays in force. `savoryknotctl status` shows who rejected it and why.')
export const VERSION_WAITING = define(5003, 'version-waiting', 'info',
  'A version waits for another document that its routes refer to; the one before it stays in force.')
export const VERSION_CONFLICT = define(5004, 'version-conflict', 'error',
  'Two contents were learned under one version of one service; the first stays. Compare both with `savoryknotctl show`.')
export const SERVICE_LIMIT_REACHED = define(5005, 'service-limit-reached', 'error',
  'A further service was refused because this node holds as many as it may.')
export const BODY_REFUSED = define(5010, 'body-refused', 'warn',
  'A body from a peer was not what had been asked for, could not be inflated or had another hash; it is asked for again, whole.')
export const PULL_GIVEN_UP = define(5011, 'pull-given-up', 'warn',
  'No peer that announced a version sent its body in time. The exchange of digests asks again.')
export const PEER_MESSAGE_MALFORMED = define(5012, 'peer-message-malformed', 'warn',
  'A peer sent an entry with an impossible name, version or hash; the entry was ignored.')
export const SOURCE_UNAVAILABLE = define(5020, 'source-unavailable', 'warn',
  'The change log could not be read; it is tried again with backoff. Versions in force stay.')
export const SOURCE_RECOVERED = define(5021, 'source-recovered', 'info',
  'The change log can be read again.')
export const SOURCE_BODY_MISSING = define(5022, 'source-body-missing', 'error',
  'The store lacks the text of an accepted version; peers are the only other source.')
export const CATCH_UP_COMPLETED = define(5030, 'catch-up-completed', 'info',
  'This node holds the newest versions and may serve; the event tells what that was confirmed against.')
export const CATCH_UP_WAITING = define(5031, 'catch-up-waiting', 'warn',
  'Neither the store nor enough peers that are up to date answer; the node does not serve yet.')
export const REPORT_WRITE_FAILED = define(5040, 'report-write-failed', 'warn',
  'The status object of this failure domain could not be written; others see the domain as not heard until it can.')
export const REPORT_REFUSED = define(5041, 'report-refused', 'warn',
  'A report from a peer was malformed or of a node that is not a member; it was ignored.')
export const REPORT_READ_FAILED = define(5042, 'report-read-failed', 'warn',
  'The report of a failure domain could not be read; it is shown as not heard.')

export const DISTRIBUTION_EVENTS: readonly IEventDefinition[] = Object.freeze([
  SNAPSHOT_REPLACED, VERSION_REJECTED, VERSION_WAITING, VERSION_CONFLICT, SERVICE_LIMIT_REACHED, BODY_REFUSED, PULL_GIVEN_UP,
  PEER_MESSAGE_MALFORMED, SOURCE_UNAVAILABLE, SOURCE_RECOVERED, SOURCE_BODY_MISSING, CATCH_UP_COMPLETED, CATCH_UP_WAITING,
  REPORT_WRITE_FAILED, REPORT_REFUSED, REPORT_READ_FAILED
])
