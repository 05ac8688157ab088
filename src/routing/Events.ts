/** Events of routing/, numbers 6000 to 6999. */
import type { IEventDefinition } from '../common/Services.js'

export const ENDPOINT_EJECTED: IEventDefinition = Object.freeze({
  number: 6001,
  name: 'endpoint-ejected',
  level: 'warn',
  meaning: 'This node excludes an endpoint for a limited time because its calls failed or were slow compared with its peers. The ejection expires by itself; see docs/operations/slow-endpoint.md.'
})

export const NO_ENDPOINT: IEventDefinition = Object.freeze({
  number: 6002,
  name: 'no-endpoint',
  level: 'warn',
  meaning: 'No endpoint of the service is available; its requests are refused as not run. Logged once until an endpoint is available again; see docs/operations/no-endpoint.md.'
})

export const ENDPOINTS_BACK: IEventDefinition = Object.freeze({
  number: 6003,
  name: 'endpoints-back',
  level: 'info',
  meaning: 'Endpoints of the service are available again.'
})

export const ANSWER_MISMATCHED: IEventDefinition = Object.freeze({
  number: 6004,
  name: 'answer-mismatched',
  level: 'error',
  meaning: 'A response from a gate carried another request id or no outcome. It was discarded, its connection closed, and the outcome of the call reported as unknown.'
})

export const SETTLE_FAILED: IEventDefinition = Object.freeze({
  number: 6005,
  name: 'settle-failed',
  level: 'info',
  meaning: 'The connection to a gate broke before the response, and the gate could not state whether the request had started. The outcome is unknown.'
})

export const RETRY_BUDGET_SPENT: IEventDefinition = Object.freeze({
  number: 6006,
  name: 'retry-budget-spent',
  level: 'warn',
  meaning: 'A retry that the rules allow was omitted because the retry budget of the service is exhausted. Logged at most once a minute for each service; see docs/operations/retries-exhausted.md.'
})

export const CALLER_REFUSED: IEventDefinition = Object.freeze({
  number: 6007,
  name: 'caller-refused',
  level: 'debug',
  meaning: 'A caller sent a request that is ambiguous, malformed or too large; its connection was closed.'
})

export const ROUTING_EVENTS: readonly IEventDefinition[] = Object.freeze([
  ENDPOINT_EJECTED, NO_ENDPOINT, ENDPOINTS_BACK, ANSWER_MISMATCHED, SETTLE_FAILED, RETRY_BUDGET_SPENT, CALLER_REFUSED
])
