/** Log events of src/gate, numbers 7000 to 7999. */
import type { IEventDefinition } from '../common/Services.js'

export const ENDPOINT_STATE_CHANGED: IEventDefinition = Object.freeze({
  number: 7001,
  name: 'endpoint-state-changed',
  level: 'info',
  meaning: 'An endpoint of this node changed its state; the new state was announced to the other nodes. The field `reason` states the cause.'
})

export const UPSTREAM_UNREACHABLE: IEventDefinition = Object.freeze({
  number: 7002,
  name: 'upstream-unreachable',
  level: 'warn',
  meaning: 'No connection to the upstream could be opened. Calls are refused as not run until a connection succeeds. Check that the upstream is running and listens on its address.'
})

export const UPSTREAM_CRASHED: IEventDefinition = Object.freeze({
  number: 7003,
  name: 'upstream-crashed',
  level: 'error',
  meaning: 'The upstream closed all its connections while requests were in flight. `inFlight` is the number of requests with an unknown outcome; they are now suspect.'
})

export const RESPONSE_REJECTED: IEventDefinition = Object.freeze({
  number: 7004,
  name: 'answer-refused',
  level: 'warn',
  meaning: 'The response of the upstream was not forwarded completely: it was mismatched (carried another request id), truncated, too large, late, or had no delimited body. The field `reason` states the cause.'
})

export const DRAIN_STARTED: IEventDefinition = Object.freeze({
  number: 7010,
  name: 'drain-started',
  level: 'info',
  meaning: 'The endpoints of this node are draining. New requests are refused after the notice period; requests in flight finish.'
})

export const DRAIN_COMPLETED: IEventDefinition = Object.freeze({
  number: 7011,
  name: 'drain-completed',
  level: 'info',
  meaning: 'No request is in flight; the endpoints are deregistered.'
})

export const DRAIN_GRACE_EXCEEDED: IEventDefinition = Object.freeze({
  number: 7012,
  name: 'drain-grace-exceeded',
  level: 'warn',
  meaning: 'Requests are still in flight after the drain grace of the document. They are not aborted; each finishes by its deadline. Increase `drain-grace` or reduce the deadlines.'
})

export const CLAIM_STORE_UNAVAILABLE: IEventDefinition = Object.freeze({
  number: 7020,
  name: 'claim-store-unavailable',
  level: 'warn',
  meaning: 'The table service did not respond to a claim in time. At-most-once requests are refused as not run until it does. Logged once per outage.'
})

export const CLAIM_STORE_RECOVERED: IEventDefinition = Object.freeze({
  number: 7021,
  name: 'claim-store-recovered',
  level: 'info',
  meaning: 'The table service responds to claims again.'
})

export const CLAIM_WORK_DROPPED: IEventDefinition = Object.freeze({
  number: 7022,
  name: 'claim-work-dropped',
  level: 'warn',
  meaning: 'The queue of claims to be voided or recorded is full, and a claim was dropped. Retries with its key receive the outcome `unknown`; the request is never run again.'
})

export const REQUEST_SUSPECT: IEventDefinition = Object.freeze({
  number: 7030,
  name: 'request-suspect',
  level: 'warn',
  meaning: 'Requests with this fingerprint were in flight when an upstream crashed. They run alone until one of them receives a complete response.'
})

export const REQUEST_CLEARED: IEventDefinition = Object.freeze({
  number: 7031,
  name: 'request-cleared',
  level: 'info',
  meaning: 'A suspect request ran alone and received a complete response; its fingerprint is no longer suspect.'
})

export const REQUEST_QUARANTINED: IEventDefinition = Object.freeze({
  number: 7032,
  name: 'request-quarantined',
  level: 'error',
  meaning: 'A suspect request crashed its upstream while it ran alone. All nodes refuse requests with this fingerprint as not run for the quarantine time. Use the service and route of this event to find the fault in the upstream.'
})

export const GATE_REQUEST_REFUSED: IEventDefinition = Object.freeze({
  number: 7040,
  name: 'gate-request-refused',
  level: 'debug',
  meaning: 'A request from another node was malformed and was refused as not run.'
})

export const GATE_EVENTS: readonly IEventDefinition[] = Object.freeze([
  ENDPOINT_STATE_CHANGED, UPSTREAM_UNREACHABLE, UPSTREAM_CRASHED, RESPONSE_REJECTED,
  DRAIN_STARTED, DRAIN_COMPLETED, DRAIN_GRACE_EXCEEDED,
  CLAIM_STORE_UNAVAILABLE, CLAIM_STORE_RECOVERED, CLAIM_WORK_DROPPED,
  REQUEST_SUSPECT, REQUEST_CLEARED, REQUEST_QUARANTINED, GATE_REQUEST_REFUSED
])
