/**
 * Starts savoryknotd from its bundle. The build stores the compile cache of an earlier run next to the bundle, so that a
 * restarted process does not need to parse and compile the bundle again. If SAVORYKNOT_WRITE_COMPILE_CACHE is set, this run writes
 * its own compile cache to that file when the process exits.
 */
// A SIGHUP while the program loads must not end the process. It needs no action, since the settings have not been read yet.
process.on('SIGHUP', () => undefined)

const { readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const BUNDLE_FILE = join(__dirname, 'savoryknotd-bundle.cjs')
const CACHE_FILE = join(__dirname, 'savoryknotd-bundle.cache')
const isWriting = process.env.SAVORYKNOT_WRITE_COMPILE_CACHE !== undefined

/** Undefined if there is no cache file; the bundle is then compiled while it runs. */
function readCache () {
  try {
    return readFileSync(CACHE_FILE)
  } catch {
    process.stderr.write(`savoryknotd: no compile cache at ${CACHE_FILE}, the start takes longer\n`)
    return undefined
  }
}

const script = new Script(Module.wrap(readFileSync(BUNDLE_FILE, 'utf8')), {
  filename: BUNDLE_FILE, cachedData: isWriting ? undefined : readCache()
})
if (script.cachedDataRejected === true) {
  process.stderr.write('savoryknotd: the compile cache belongs to other flags or another Node.js, the start takes longer\n')
}
if (isWriting) process.on('exit', () => writeFileSync(CACHE_FILE, script.createCachedData()))

const bundle = new Module(BUNDLE_FILE)
bundle.filename = BUNDLE_FILE
script.runInThisContext()(bundle.exports, Module.createRequire(BUNDLE_FILE), bundle, BUNDLE_FILE, __dirname)
