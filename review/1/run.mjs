/**
 * A faulty endpoint answers one request with a body without end, in chunks of one byte. The process of its machine runs out of memory,
 * and with it end the requests of other clients, at which a sound endpoint on another machine is at work.
 */
import { Agent } from 'node:http'
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { HAS_TROUBLE, runCase, sleep } from '../common/Deployment.mjs'
import { headerLines } from '../common/Endpoint.mjs'

const KEPT_CLIENTS = 6
/** The longest work of the site's deposits. */
const WORK_MS = 1_700
/** Deadlines of the site's proofs and deposits. The node gives up on an endless answer at the first. */
const PROOF_DEADLINE_MS = 4_000
const DEPOSIT_DEADLINE_MS = 5_000
const CHUNK = '1\r\na\r\n'
const BLOCK = CHUNK.repeat(10_000)
const LARGEST_ALLOWED_LOSS = 3

const ROUTES = [
  { prefix: '/proof/', service: 'gallery', timeoutMs: PROOF_DEADLINE_MS },
  { prefix: '/deposit/', service: 'billing', kind: 'non_idempotent', timeoutMs: 2_500 }
]

await runCase(dirname(fileURLToPath(import.meta.url)), async (deployment) => {
  await deployment.start(ROUTES, ['gallery', 'billing', 'printhouse'])
  const [faulty, sound, other] = deployment.machines
  sound.endpoint.workMs = WORK_MS
  let sentBytes = 0
  faulty.endpoint.script = ({ response, socket, signed, run }) => {
    if (!HAS_TROUBLE) {
      response.writeHead(200, { ...signed, 'content-length': '5' })
      response.end('sound')
      return
    }
    deployment.record(`endpoint ${run.endpoint} answers ${run.id} without end`)
    const write = () => {
      while (!socket.destroyed && socket.write(BLOCK)) sentBytes += BLOCK.length
    }
    socket.on('drain', write)
    socket.write(`HTTP/1.1 200 OK\r\n${headerLines(signed)}transfer-encoding: chunked\r\n\r\n`)
    write()
  }
  const agents = Array.from({ length: KEPT_CLIENTS }, () => new Agent({ keepAlive: true, maxSockets: 1 }))
  const deposit = (agent, id) => deployment.call(faulty, {
    id, method: 'POST', path: '/deposit/1', body: 'amount=1', deadlineMs: DEPOSIT_DEADLINE_MS, agent
  })
  await Promise.all(agents.map((agent, index) => deposit(agent, `first-${index}`)))

  const deposits = agents.map((agent, index) => deposit(agent, `deposit-${index}`))
  await sleep(100)
  const proof = deployment.call(other, { id: 'proof', path: '/proof/1', deadlineMs: PROOF_DEADLINE_MS })
  const answers = await Promise.all(deposits)
  await proof
  for (const agent of agents) agent.destroy()
  await sleep(500)

  const ran = new Set(sound.endpoint.runs.map(({ id }) => id))
  const lost = answers.filter(({ id, status }) => ran.has(id) && status === 0)
  const { exitCode, signalCode } = faulty.process
  deployment.record(`the faulty endpoint sent ${(sentBytes / 1e6).toFixed(1)} MB; process of its machine: code ${exitCode}, signal ${signalCode}`)
  deployment.record(`${lost.length} requests on kept connections had run at a sound endpoint and got no answer`)
  return lost.length <= LARGEST_ALLOWED_LOSS ? undefined : `${lost.length} requests at work at a sound endpoint ended without an answer`
})
