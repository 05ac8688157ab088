/** The least that a hop costs with Node's HTTP server and undici: no routing, no slots, no checks. */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Pool } from 'undici'
import { serveBenchProcess } from './BenchProcess.js'

const { upstream } = JSON.parse(process.argv[2] ?? '{}') as { upstream: string }
const pool = new Pool(`http://${upstream}`, { connections: 32, pipelining: 1, keepAliveTimeout: 60_000 })

const server = createServer({ noDelay: true, keepAliveTimeout: 60_000 }, (message, response) => {
  pool.dispatch({ path: message.url ?? '/', method: 'GET', headers: message.rawHeaders.filter((_, at, all) => !isConnection(all, at)) }, {
    onRequestStart: () => undefined,
    onResponseStart: (_controller, status, { connection, 'keep-alive': keepAlive, ...headers }) => { response.writeHead(status, headers) },
    onResponseData: (_controller, chunk) => { response.write(chunk) },
    onResponseEnd: () => { response.end() },
    onResponseError: () => { response.destroy() }
  })
})

/** True for the name or the value of the field that concerns one connection only. */
function isConnection (fields: readonly string[], at: number): boolean {
  return fields[at - at % 2]?.toLowerCase() === 'connection'
}

server.listen(0, '127.0.0.1', () => serveBenchProcess({ front: `127.0.0.1:${(server.address() as AddressInfo).port}` }))
