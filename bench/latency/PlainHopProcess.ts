/** Minimal HTTP proxy with Node's HTTP server and undici, without routing, slots or checks: a lower bound for the cost of a hop. */
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

/** Whether the position is the name or the value of a `connection` header, which applies to a single connection only. */
function isConnection (fields: readonly string[], position: number): boolean {
  return fields[position - position % 2]?.toLowerCase() === 'connection'
}

server.listen(0, '127.0.0.1', () => serveBenchProcess({ front: `127.0.0.1:${(server.address() as AddressInfo).port}` }))
