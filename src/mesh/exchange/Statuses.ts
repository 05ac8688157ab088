/** Classifies the status codes of responses of endpoints. */

const SERVER_ERROR = 500
const GATEWAY_TIMEOUT = 504
/** Request Timeout, Misdirected Request, Too Many Requests, Service Unavailable. */
const REFUSAL_STATUSES: readonly number[] = [408, 421, 429, 503]

/** True if the endpoint failed a request that another endpoint may serve. After a 504 the deadline has passed, so no other endpoint can. */
export function isEndpointFailure (status: number): boolean {
  return status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT
}

/** True if the endpoint processed the request: the response is a success or a client error. */
export function isServed (status: number): boolean {
  return status < SERVER_ERROR
}

/** True if a caller interprets the status as a statement that its request did not run and never will. */
export function isRefusalStatus (status: number): boolean {
  return REFUSAL_STATUSES.includes(status)
}
