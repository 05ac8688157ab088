/** Events of gate/, numbers 7000 to 7999. */
import type { IEventDefinition } from '../common/Services.js'

export const ENDPOINT_STATE_CHANGED: IEventDefinition = Object.freeze({
  number: 7001,
  name: 'endpoint-state-changed',
  level: 'info',
  meaning: 'An endpoint of this node changed its state; the new state was announced to the other nodes. The field `reason` says why.'
})

export const UPSTREAM_UNREACHABLE: IEventDefinition = Object.freeze({
  number: 7002,
  name: 'upstream-unreachable',
  level: 'warn',
  meaning: 'No connection to the upstream could be opened. Calls are refused as not run until one can. Check that the upstream runs and listens at its address.'
})

export const UPSTREAM_CRASHED: IEventDefinition = Object.freeze({
  number: 7003,
  name: 'upstream-crashed',
  level: 'error',
  meaning: 'The upstream closed all its connections while requests were in flight. `inFlight` counts the requests whose outcome is unknown; they are now suspect.'
})

export const ANSWER_REFUSED: IEventDefinition = Object.freeze({
  number: 7004,
  name: 'answer-refused',
  level: 'warn',
  meaning: 'The answer of the upstream was not passed on whole: it was crossed, truncated, too large, late, or its end could not be known. `reason` says which.'
})

export const DRAIN_STARTED: IEventDefinition = Object.freeze({
  number: 7010,
  name: 'drain-started',
  level: 'info',
  meaning: 'The endpoints of this node are leaving. New work is refused after the notice period; requests in flight finish.'
})

export const DRAIN_COMPLETED: IEventDefinition = Object.freeze({
  number: 7011,
  name: 'drain-completed',
  level: 'info',
  meaning: 'No request is in flight any more; the endpoints have left.'
})

export const DRAIN_GRACE_EXCEEDED: IEventDefinition = Object.freeze({
  number: 7012,
  name: 'drain-grace-exceeded',
  level: 'warn',
  meaning: 'Requests are still in flight after the drain grace of the document. They are not cut; each ends by its deadline. Raise `drain-grace` or lower the deadlines.'
})

export const CLAIM_STORE_UNAVAILABLE: IEventDefinition = Object.freeze({
  number: 7020,
  name: 'claim-store-unavailable',
  level: 'warn',
  meaning: 'The table service did not answer a claim in time. At-most-once requests are refused as not run until it does. Logged once an outage.'
})

export const CLAIM_STORE_RECOVERED: IEventDefinition = Object.freeze({
  number: 7021,
  name: 'claim-store-recovered',
  level: 'info',
  meaning: 'The table service answers claims again.'
})

export const CLAIM_WORK_DROPPED: IEventDefinition = Object.freeze({
  number: 7022,
  name: 'claim-work-dropped',
  level: 'warn',
  meaning: 'The list of claims to be voided or recorded later is full. Repeats of the dropped key are answered as unknown; the request is never run again.'
})

export const REQUEST_SUSPECT: IEventDefinition = Object.freeze({
  number: 7030,
  name: 'request-suspect',
  level: 'warn',
  meaning: 'Requests with this fingerprint were in flight when an upstream crashed. They run alone until one finishes whole.'
})

export const REQUEST_CLEARED: IEventDefinition = Object.freeze({
  number: 7031,
  name: 'request-cleared',
  level: 'info',
  meaning: 'A suspect request ran alone and finished whole; its fingerprint is no longer suspect.'
})

export const REQUEST_QUARANTINED: IEventDefinition = Object.freeze({
  number: 7032,
  name: 'request-quarantined',
  level: 'error',
  meaning: 'A suspect request crashed its upstream while it ran alone. Requests with this fingerprint are refused as not run, everywhere, for the quarantine time. Find the fault in the upstream by the service and route of this event.'
})

export const GATE_REQUEST_REFUSED: IEventDefinition = Object.freeze({
  number: 7040,
  name: 'gate-request-refused',
  level: 'debug',
  meaning: 'A request from another node was malformed and was refused as not run.'
})

export const GATE_EVENTS: readonly IEventDefinition[] = Object.freeze([
  ENDPOINT_STATE_CHANGED, UPSTREAM_UNREACHABLE, UPSTREAM_CRASHED, ANSWER_REFUSED,
  DRAIN_STARTED, DRAIN_COMPLETED, DRAIN_GRACE_EXCEEDED,
  CLAIM_STORE_UNAVAILABLE, CLAIM_STORE_RECOVERED, CLAIM_WORK_DROPPED,
  REQUEST_SUSPECT, REQUEST_CLEARED, REQUEST_QUARANTINED, GATE_REQUEST_REFUSED
])
