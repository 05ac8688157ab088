/** Ends a gRPC server in bounded time. */
import type { Server } from '@grpc/grpc-js'
import type { IClockService } from './Services.js'
import type { Milliseconds } from './Types.js'

/** Lets calls in flight finish within `grace`, and ends the others. A client that cannot be reached does not hold it up. */
export function endServer (server: Server, clock: IClockService, grace: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    const forced = clock.after(grace, () => {
      server.forceShutdown()
      // The server waits for the connections of silent clients all the same.
      resolve()
    })
    server.tryShutdown(() => {
      forced.dispose()
      resolve()
    })
  })
}
