/** Entry point of `savoryknotd`. */
import { readFileSync } from 'node:fs'
import { cac } from 'cac'
import { IniSectionReader } from '../common/IniSectionReader.js'
import { EXIT_DONE, EXIT_INVALID } from './ExitCodes.js'
import { SettingsError } from './settings/SettingsError.js'
import { SOFTWARE_VERSION } from './Software.js'

/** Section that only the settings file of a mesh node has. */
const MESH_SECTION_NAME = 'mesh'

/** Parsed command line arguments. */
interface IArguments {
  readonly settings: string | undefined
  readonly isCheckOnly: boolean
}

/** A validated settings file, ready to run. */
interface ILoadedSettings {
  /** Runs the node; resolves with the exit code. */
  run (): Promise<number>
}

/** Parses the command line. Undefined if only the help or the version was requested. */
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

/** True for the settings of a mesh node. A file that cannot be read is reported later by the settings reader. */
function isMesh (file: string): boolean {
  try {
    return new IniSectionReader(readFileSync(file, 'utf8')).names.includes(MESH_SECTION_NAME)
  } catch {
    return false
  }
}

/** Loads the settings, and the modules of this kind of node only, which saves memory and time at the start. */
async function load (file: string): Promise<ILoadedSettings> {
  if (isMesh(file)) {
    const [{ readMeshSettings }, { runMesh }, { Adapter }] = await Promise.all([
      import('../mesh/daemon/MeshSettings.js'), import('../mesh/daemon/Run.js'), import('../../platform/Adapter.js')
    ])
    const settings = readMeshSettings(file)
    return { run: () => runMesh({ file, settings, adapter: new Adapter() }) }
  }
  const [{ readSettings }, { run }] = await Promise.all([import('./settings/SettingsReader.js'), import('./Run.js')])
  const settings = readSettings(file)
  return { run: () => run(settings) }
}

/** Prints the faults and returns undefined if the settings are missing or invalid. */
async function loadSettings (file: string | undefined): Promise<ILoadedSettings | undefined> {
  if (file === undefined) {
    process.stderr.write('savoryknotd: --settings FILE is needed; see savoryknotd --help\n')
    return undefined
  }
  try {
    return await load(file)
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error
    process.stderr.write(`${error.message}\n`)
    return undefined
  }
}

/** Runs the program; resolves with its exit code. */
async function main (): Promise<number> {
  const parsedArguments = readArguments()
  if (parsedArguments === undefined) return EXIT_DONE
  const loaded = await loadSettings(parsedArguments.settings)
  if (loaded === undefined) return EXIT_INVALID
  if (!parsedArguments.isCheckOnly) return loaded.run()
  process.stdout.write(`${parsedArguments.settings}: valid\n`)
  return EXIT_DONE
}

main().then((code) => process.exit(code))
