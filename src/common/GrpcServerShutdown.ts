/** Shuts down a gRPC server in bounded time. */
import type { Server } from '@grpc/grpc-js'
import type { IClockService } from './Services.js'
import type { Milliseconds } from './Types.js'

/** Lets calls in flight finish within `grace`, then cancels the remaining ones. An unreachable client does not delay the shutdown. */
export function shutDownGrpcServer (server: Server, clock: IClockService, grace: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    const forcedShutdown = clock.after(grace, () => {
      server.forceShutdown()
      // Even after a forced shutdown the server waits for the connections of unresponsive clients.
      resolve()
    })
    server.tryShutdown(() => {
      forcedShutdown.dispose()
      resolve()
    })
  })
}
