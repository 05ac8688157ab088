/** Finds free ports on the loopback interface. */
import { createServer, type AddressInfo } from 'node:net'

/** Distinct ports that were free a moment ago. */
export async function findFreePorts (count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  const ports: number[] = []
  for (const server of servers) {
    await new Promise<void>((resolve, reject) => server.once('error', reject).listen(0, '127.0.0.1', resolve))
    ports.push((server.address() as AddressInfo).port)
  }
  for (const server of servers) await new Promise((resolve) => server.close(resolve))
  return ports
}
