/** Finds free ports on the loopback interface. */
import { createServer, type Server } from 'node:net'

/**
 * Ports are taken from below the range that the system gives to outgoing connections: a port of that range may be
 * in use when the process that was given it starts, or starts again.
 */
const FIRST_PORT = 10_000
const PORT_COUNT = 20_000

/** Distinct ports that were free a moment ago. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = new Map<number, Server>()
  while (servers.size < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT)
    const server = servers.has(port) ? undefined : await tryListen(port)
    if (server !== undefined) servers.set(port, server)
  }
  for (const server of servers.values()) await new Promise((resolve) => server.close(resolve))
  return [...servers.keys()]
}

/** Undefined if the port is taken. */
function tryListen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
