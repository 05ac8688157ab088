/** What the status of an endpoint's answer says. */

const SERVER_ERROR = 500
const GATEWAY_TIMEOUT = 504
/** Request timeout, misdirected request, too many requests, service unavailable. */
const REFUSAL_STATUSES: readonly number[] = [408, 421, 429, 503]

/** True if the endpoint failed a request that another one may serve. At its deadline no other one can. */
export function isEndpointFailure (status: number): boolean {
  return status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT
}

/** True if the answer brings what was asked for, or says why it cannot be had. */
export function isServed (status: number): boolean {
  return status < SERVER_ERROR
}

/** True if a caller takes the status for the word that its request has not run and never will. */
export function isRefusalStatus (status: number): boolean {
  return REFUSAL_STATUSES.includes(status)
}
