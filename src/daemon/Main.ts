/** Entry point of `savoryknotd`. */
import { cac } from 'cac'
import { LogService } from '../common/LogService.js'
import { SavoryknotError } from '../common/SavoryknotError.js'
import { Daemon } from './Daemon.js'
import { DAEMON_FAILED } from './Events.js'
import { readSettings } from './settings/SettingsReader.js'
import { SettingsError } from './settings/SettingsError.js'
import type { ISettings } from './settings/Types.js'
import { SOFTWARE_VERSION } from './Software.js'

const EXIT_DONE = 0
const EXIT_FAILED = 1
const EXIT_INVALID = 2

/** What the command line says. */
interface IArguments {
  readonly settings: string | undefined
  readonly isCheckOnly: boolean
}

/** Undefined if only help or the version was asked for. */
function readArguments (): IArguments | undefined {
  const parser = cac('savoryknotd')
  parser.option('--settings <file>', 'Settings file, see docs/SETTINGS.md')
  parser.option('--check', 'Check the settings file and exit')
  parser.example('  savoryknotd --settings examples/tsagaan/node.ini --check')
  parser.help()
  parser.version(SOFTWARE_VERSION)
  const { options } = parser.parse()
  if (options.help === true || options.version === true) return undefined
  return { settings: options.settings === undefined ? undefined : String(options.settings), isCheckOnly: options.check === true }
}

/** Undefined after a refusal, which has been printed. */
function loadSettings (file: string | undefined): ISettings | undefined {
  if (file === undefined) {
    process.stderr.write('savoryknotd: --settings FILE is needed; see savoryknotd --help\n')
    return undefined
  }
  try {
    return readSettings(file)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    return undefined
  }
}

/** Logs an error that ends the process. */
function logFailure (settings: ISettings, error: unknown): void {
  const fields = error instanceof SavoryknotError ? { step: error.step, peer: error.peer } : { step: 'daemon.run' }
  new LogService(settings.log).log(DAEMON_FAILED, { ...fields, message: error instanceof Error ? error.message : String(error) })
}

/** Runs until a signal asks for a stop. */
async function run (settings: ISettings): Promise<number> {
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

/** Exit code of the whole program. */
async function main (): Promise<number> {
  const given = readArguments()
  if (given === undefined) return EXIT_DONE
  const settings = loadSettings(given.settings)
  if (settings === undefined) return EXIT_INVALID
  if (!given.isCheckOnly) return run(settings)
  process.stdout.write(`${given.settings}: valid\n`)
  return EXIT_DONE
}

process.exit(await main())
