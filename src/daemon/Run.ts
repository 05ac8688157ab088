/** Runs a node that stores documents in the services of the platform, until SIGTERM or SIGINT. */
import { LogService } from '../common/LogService.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import { Daemon } from './Daemon.js'
import { DAEMON_FAILED } from './Events.js'
import { EXIT_DONE, EXIT_FAILED } from './ExitCodes.js'
import type { ISettings } from './settings/Types.js'

/** Logs the error that ends the process. */
function logFailure (settings: ISettings, error: unknown): void {
  const fields = error instanceof SavoryknotError ? { step: error.step, peer: error.peer } : { step: 'daemon.run' }
  new LogService(settings.log).log(DAEMON_FAILED, { ...fields, message: error instanceof Error ? error.message : String(error) })
}

/** Resolves with the exit code once the node has stopped. */
export async function run (settings: ISettings): Promise<number> {
  try {
    const daemon = new Daemon(settings)
    const stopped = new Promise<void>((resolve, reject) => {
      const stop = (): void => { daemon.stop().then(resolve, reject) }
      process.on('SIGTERM', stop)
      process.on('SIGINT', stop)
    })
    process.on('SIGHUP', () => daemon.reloadKeys())
    await Promise.race([daemon.start(), stopped])
    await stopped
    return EXIT_DONE
  } catch (error) {
    logFailure(settings, error)
    return EXIT_FAILED
  }
}
