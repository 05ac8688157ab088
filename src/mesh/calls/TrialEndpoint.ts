/** Selects the endpoint for a trial of a quarantined request. */
import { createHash } from 'node:crypto'
import type { RequestFingerprint } from '../../common/Types.js'
import type { EndpointView } from './EndpointView.js'

/**
 * Rendezvous hashing: nodes with the same candidates select the same endpoint without messages, so that its node alone decides on
 * the trials of a request.
 */
export function selectTrialEndpoint (candidates: readonly EndpointView[], fingerprint: RequestFingerprint): EndpointView | undefined {
  let selected: EndpointView | undefined
  let highest = ''
  for (const candidate of candidates) {
    const rank = createHash('sha256').update(`${fingerprint} ${candidate.target.node.node}`).digest('hex')
    if (rank <= highest) continue
    selected = candidate
    highest = rank
  }
  return selected
}
