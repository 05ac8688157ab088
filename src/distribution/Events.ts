/** Events of distribution/, numbers 5000 to 5999. */
import type { EventLevel, IEventDefinition } from '../common/Services.js'

/** Creates an immutable event definition. */
function define (number: number, name: string, level: EventLevel, meaning: string): IEventDefinition {
  return Object.freeze({ number, name, level, meaning })
}

export const SNAPSHOT_REPLACED = define(5001, 'snapshot-replaced', 'info',
  'New versions came into force on this node, all at once.')
export const VERSION_REJECTED = define(5002, 'version-rejected', 'error',
  'A version was not applied; the previous version stays in force. `savoryknotctl status` shows which nodes rejected it and why.')
export const VERSION_WAITING = define(5003, 'version-waiting', 'info',
  'A version waits for another document that its routes refer to; the previous version stays in force.')
export const VERSION_CONFLICT = define(5004, 'version-conflict', 'error',
  'Two different contents were received for the same version of a service; the first one is kept. Compare both with `savoryknotctl show`.')
export const SERVICE_LIMIT_REACHED = define(5005, 'service-limit-reached', 'error',
  'A new service was refused because this node already stores the maximum number of services.')
export const BODY_REFUSED = define(5010, 'body-refused', 'warn',
  'A body from a peer was not requested, could not be decompressed or did not match its hash; the next request asks for the complete body.')
export const PULL_GIVEN_UP = define(5011, 'pull-given-up', 'warn',
  'No peer that announced a version sent its body in time. The next exchange of digests detects the missing version again.')
export const PEER_MESSAGE_MALFORMED = define(5012, 'peer-message-malformed', 'warn',
  'A peer sent an invalid message, or an entry with an invalid name, version or hash; the message or entry was ignored.')
export const SOURCE_UNAVAILABLE = define(5020, 'source-unavailable', 'warn',
  'The change log could not be read; the read is retried with backoff. The versions in force stay.')
export const SOURCE_RECOVERED = define(5021, 'source-recovered', 'info',
  'The change log can be read again.')
export const SOURCE_BODY_MISSING = define(5022, 'source-body-missing', 'error',
  'The store lacks the text of an accepted version; it can now come only from a peer.')
export const CATCH_UP_COMPLETED = define(5030, 'catch-up-completed', 'info',
  'This node has the newest versions and may serve requests; the event states whether the store or which peers confirmed this.')
export const CATCH_UP_WAITING = define(5031, 'catch-up-waiting', 'warn',
  'The store could not be read; the node does not serve requests until the store or enough up-to-date peers confirm its versions.')
export const REPORT_WRITE_FAILED = define(5040, 'report-write-failed', 'warn',
  'The status or burn object of this failure domain could not be written; without a new status object the domain is shown as not heard.')
export const REPORT_REFUSED = define(5041, 'report-refused', 'warn',
  'A report from a peer was malformed or listed a lower version than before; it was ignored.')
export const REPORT_READ_FAILED = define(5042, 'report-read-failed', 'warn',
  'A report object of a failure domain could not be read; without its status object the domain is shown as not heard.')

export const DISTRIBUTION_EVENTS: readonly IEventDefinition[] = Object.freeze([
  SNAPSHOT_REPLACED, VERSION_REJECTED, VERSION_WAITING, VERSION_CONFLICT, SERVICE_LIMIT_REACHED, BODY_REFUSED, PULL_GIVEN_UP,
  PEER_MESSAGE_MALFORMED, SOURCE_UNAVAILABLE, SOURCE_RECOVERED, SOURCE_BODY_MISSING, CATCH_UP_COMPLETED, CATCH_UP_WAITING,
  REPORT_WRITE_FAILED, REPORT_REFUSED, REPORT_READ_FAILED
])
