/** Traffic to an endpoint that leaves, and the check that no request reaches it later than `drainMs` after the acknowledgement. */
import { BOUNDS, sleep } from './Deployment.mjs'

/** Time that the endpoint serves beyond `drainMs`: at times many seconds. */
const LONGER_MS = 3_000
/** Both endpoints of the service are needed for this load. */
const REQUEST_INTERVAL_MS = 12
const WORK_MS = 150
const LAST_ANSWERS_MS = 3_000

export class LeavingEndpoint {
  constructor (deployment) {
    this._deployment = deployment
    this._number = 0
  }

  /** Starts three machines, and clients on the machine of the endpoint and on one of another service. */
  async start () {
    const route = { prefix: '/fee/', service: 'fee', kind: 'non_idempotent', timeoutMs: 1_200, maxAttempts: 2 }
    await this._deployment.start([route], ['fee', 'fee', 'status'], { workMs: WORK_MS })
    const [leaving, , other] = this._deployment.machines
    this.machine = leaving
    this.endpoint = leaving.endpoint
    this._traffic = setInterval(() => {
      const number = ++this._number
      const client = number % 2 === 0 ? leaving : other
      this._deployment.call(client, { id: `pay-${number}`, method: 'PUT', path: `/fee/${number}`, body: 'amount=1', deadlineMs: 1_200 })
    }, REQUEST_INTERVAL_MS)
  }

  /** The endpoint deregisters, serves for `drainMs` and longer, and ends. Returns the breach of the rule, if any. */
  async leave () {
    const { endpoint, machine, _deployment: deployment } = this
    const status = await endpoint.deregister(machine.post)
    const acknowledgedAt = performance.now()
    deployment.record(`the deregistration of ${endpoint.id} born ${endpoint.born} was acknowledged with ${status}`)
    if (status !== 200) throw new Error(`the deregistration got ${status}`)
    endpoint.stopHeartbeats()
    await sleep(BOUNDS.drainMs + LONGER_MS)
    endpoint.exit()
    await sleep(LAST_ANSWERS_MS)
    clearInterval(this._traffic)
    await sleep(LAST_ANSWERS_MS)
    const latestAt = acknowledgedAt + BOUNDS.drainMs
    const late = endpoint.runs.filter(({ born, at }) => born === endpoint.born && at > latestAt)
    const lateIds = new Set(late.map(({ id }) => id))
    const lost = deployment.answers.filter((answer) => lateIds.has(answer.id) && answer.status !== 200)
    deployment.record(`${late.length} requests reached the endpoint later than ${BOUNDS.drainMs} ms after the acknowledgement`)
    deployment.record(`${lost.length} of them were cut when the endpoint ended`)
    return late.length === 0 ? undefined : `${late.length} requests reached an endpoint later than drainMs after its leaving was acknowledged`
  }
}
