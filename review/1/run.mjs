/**
 * An endpoint that started again under its id deregisters before its first heartbeat, which is seconds late, has arrived. Its machine
 * acknowledges that it leaves and goes on sending requests to it.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BOUNDS, HAS_TROUBLE, runCase, sleep } from '../common/Deployment.mjs'

const DOWN_MS = 3_000
const HEARTBEAT_DELAY_MS = 6_000
const LIFE_BEFORE_LEAVING_MS = 1_000
/** Time that the endpoint serves beyond `drainMs`: at times many seconds. */
const LONGER_MS = 3_000
const REQUEST_INTERVAL_MS = 12
const WORK_MS = 150

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  await deployment.start([{ prefix: '/fee/', service: 'fee', kind: 'non_idempotent', timeoutMs: 1_200, maxAttempts: 2 }], ['fee', 'fee', 'status'], { workMs: WORK_MS })
  const [leaving, , other] = deployment.machines
  const { endpoint } = leaving
  let number = 0
  const traffic = setInterval(() => {
    number++
    deployment.call(number % 2 === 0 ? leaving : other, { id: `pay-${number}`, method: 'PUT', path: `/fee/${number}`, body: 'amount=1', deadlineMs: 1_200 })
  }, REQUEST_INTERVAL_MS)
  await sleep(1_000)

  endpoint.crash()
  await sleep(DOWN_MS)
  await endpoint.start()
  // The heartbeat is sent now; with the disruption it is on its way for seconds.
  const heartbeat = sleep(HAS_TROUBLE ? HEARTBEAT_DELAY_MS : 0).then(() => endpoint.heartbeat(leaving.post))
  await sleep(LIFE_BEFORE_LEAVING_MS)

  const status = await endpoint.deregister(leaving.post)
  const acknowledgedAt = performance.now()
  deployment.record(`the deregistration of ${endpoint.id} born ${endpoint.born} was acknowledged with ${status}`)
  if (status !== 200) throw new Error(`the deregistration got ${status}`)
  await sleep(BOUNDS.drainMs + LONGER_MS)
  endpoint.exit()
  await sleep(1_500)
  clearInterval(traffic)
  await heartbeat
  await sleep(1_500)

  const late = endpoint.runs.filter(({ born, at }) => born === endpoint.born && at > acknowledgedAt + BOUNDS.drainMs)
  const failed = deployment.answers.filter(({ sentAt, status: answered }) => sentAt > acknowledgedAt + BOUNDS.drainMs && answered === 502)
  deployment.record(`${late.length} requests reached the endpoint later than ${BOUNDS.drainMs} ms after the acknowledgement`)
  deployment.record(`${failed.length} requests that were sent later than that got 502`)
  return late.length === 0 ? undefined : `${late.length} requests reached an endpoint later than drainMs after its leaving was acknowledged`
})
