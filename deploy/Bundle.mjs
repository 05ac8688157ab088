/** Bundles savoryknotd into target/, and runs it once to create a compile cache, with which a restarted process serves sooner. */
import { build } from 'esbuild'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { protocolDefinition } from './ProtocolDefinition.cjs'

/** Defines the replacement of `import.meta.url`, which does not exist in a CommonJS file. */
const MODULE_URL = "const bundleUrl = require('node:url').pathToFileURL(__filename).href;"
const LAUNCHER_FILE = 'target/savoryknotd.cjs'
/** Settings file of the run that creates the compile cache. No server listens at the address of its store. */
const TRIAL_SETTINGS_FILE = 'target/compile-trial.ini'
const TRIAL_ADDRESSES = ['caller', 'gate', 'peer', 'ready', 'control', 'metrics']
/** Long enough for the node to open its ports and start requesting its view. */
const TRIAL_DURATION_MS = 1_500

await build({
  entryPoints: { 'savoryknotd-bundle': 'src/daemon/Main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: { undici: './deploy/HttpClientParts.cjs', '@grpc/proto-loader': './deploy/ProtocolLoader.cjs' },
  // Identifiers are not minified, because stack traces and error names contain them.
  minifyWhitespace: true,
  minifySyntax: true,
  define: { 'import.meta.url': 'bundleUrl', SAVORYKNOT_PROTOCOL: JSON.stringify(protocolDefinition()) },
  banner: { js: MODULE_URL },
  logLevel: 'warning'
})
copyFileSync('deploy/Launcher.cjs', LAUNCHER_FILE)
await writeCompileCache()

/** Runs the bundle with the deployed flags, because a compile cache is valid only under the flags of the run that wrote it. */
async function writeCompileCache () {
  mkdirSync('target', { recursive: true })
  writeFileSync(TRIAL_SETTINGS_FILE, await trialSettings())
  const daemon = spawn(process.execPath, [...deployedFlags(), LAUNCHER_FILE, '--settings', TRIAL_SETTINGS_FILE], {
    env: { ...process.env, SAVORYKNOT_WRITE_COMPILE_CACHE: '1' }, stdio: 'ignore'
  })
  const exited = once(daemon, 'exit')
  await Promise.race([sleep(TRIAL_DURATION_MS), exited])
  daemon.kill('SIGTERM')
  await exited
}

/** Flags of Node.js with which deploy/system.toml runs the daemon. */
function deployedFlags () {
  const [, command] = /^run = "node (.*)"$/m.exec(readFileSync('deploy/system.toml', 'utf8'))
  return command.split(' ').filter((word) => word.startsWith('--') && word !== '--settings')
}

async function trialSettings () {
  const lines = ['[mesh]', 'node = trial', 'failure-domain = trial', 'region = trial']
  for (const name of TRIAL_ADDRESSES) lines.push(`${name}-address = 127.0.0.1:${await freePort()}`)
  lines.push('[store]', `address = 127.0.0.1:${await freePort()}`, '[bounds]', 'stop = 1 s', '')
  return lines.join('\n')
}

async function freePort () {
  const server = createServer().listen(0, '127.0.0.1')
  await once(server, 'listening')
  const { port } = server.address()
  server.close()
  await once(server, 'close')
  return port
}
