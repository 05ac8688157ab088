/** What the status of an endpoint's answer says. */

const SERVER_ERROR = 500
const GATEWAY_TIMEOUT = 504

/** True if the endpoint failed a request that another one may serve. At its deadline no other one can. */
export function isEndpointFailure (status: number): boolean {
  return status >= SERVER_ERROR && status !== GATEWAY_TIMEOUT
}

/** True if the answer brings what was asked for, or says why it cannot be had. */
export function isServed (status: number): boolean {
  return status < SERVER_ERROR
}
