/** Finds free ports on the loopback interface. */
import { createServer, type Server } from 'node:net'

/**
 * Ports are chosen below the ephemeral range of the system: an outgoing connection may occupy a port of that range when the process that
 * should listen on it starts or restarts.
 */
const FIRST_PORT = 10_000
/** Each process draws from a block of its own: between the draw and the start of a node, another process could draw the same port. */
const BLOCKS = 40
const PORTS_IN_BLOCK = 500

/** Number of ports drawn so far. Ports are drawn in turn, since one that was drawn may not be open yet at the next draw. */
let draws = 0

/** Returns distinct ports that were free at the time of the call. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = new Map<number, Server>()
  while (servers.size < count) {
    const port = FIRST_PORT + process.pid % BLOCKS * PORTS_IN_BLOCK + draws++ % PORTS_IN_BLOCK
    const server = servers.has(port) ? undefined : await tryListen(port)
    if (server !== undefined) servers.set(port, server)
  }
  for (const server of servers.values()) await new Promise((resolve) => server.close(resolve))
  return [...servers.keys()]
}

/** Resolves with undefined if the port is in use. */
function tryListen (port: number): Promise<Server | undefined> {
  const server = createServer()
  return new Promise((resolve) => {
    server.once('error', () => resolve(undefined))
    server.listen(port, '127.0.0.1', () => resolve(server))
  })
}
