/** Runs a mesh node until SIGTERM or SIGINT. */
import { BoundedLogService } from '../../common/BoundedLogService.js'
import { ClockService } from '../../common/ClockService.js'
import { LogService, outputTransport } from '../../common/LogService.js'
import type { ILogService } from '../../common/Services.js'
import { SavoryknotError } from '../../common/SavoryknotError.js'
import { EXIT_DONE, EXIT_FAILED } from '../../daemon/ExitCodes.js'
import { DAEMON_FAILED } from '../../daemon/Events.js'
import { SETTINGS_REJECTED } from '../Events.js'
import type { IMeshAdapter } from '../Services.js'
import { MeshDaemon } from './MeshDaemon.js'
import { readMeshSettings, type IMeshSettings } from './MeshSettings.js'

/** Options of `runMesh`. */
export interface IMeshRunOptions {
  /** Settings file, read again on SIGHUP. */
  readonly file: string
  readonly settings: IMeshSettings
  readonly adapter: IMeshAdapter
}

/** Resolves with the exit code once the node has stopped. */
export async function runMesh ({ file, settings, adapter }: IMeshRunOptions): Promise<number> {
  const fields = { node: settings.mesh.node, failureDomain: settings.mesh['failure-domain'] }
  const log = new BoundedLogService(new LogService({ ...settings.log, fields }, outputTransport()), new ClockService())
  try {
    const daemon = new MeshDaemon({ settings, adapter, log, readSettings: () => readSettings(file, log) })
    const stopped = new Promise<void>((resolve, reject) => {
      const stop = (): void => { daemon.stop().then(resolve, reject) }
      process.on('SIGTERM', stop)
      process.on('SIGINT', stop)
    })
    process.on('SIGHUP', () => {
      const changed = readSettings(file, log)
      if (changed !== undefined) daemon.reload(changed)
    })
    await Promise.race([daemon.start(), stopped])
    await stopped
    return EXIT_DONE
  } catch (error) {
    const origin = error instanceof SavoryknotError ? { step: error.step, peer: error.peer } : { step: 'daemon.run' }
    log.log(DAEMON_FAILED, { ...origin, message: error instanceof Error ? error.message : String(error) })
    return EXIT_FAILED
  }
}

/** Undefined if the file cannot be read or is not valid. */
function readSettings (file: string, log: ILogService): IMeshSettings | undefined {
  try {
    return readMeshSettings(file)
  } catch (error) {
    log.log(SETTINGS_REJECTED, { step: 'daemon.reload', file, reason: String(error) })
    return undefined
  }
}
