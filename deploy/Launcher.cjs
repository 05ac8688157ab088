/**
 * Starts savoryknotd from its bundle. The build leaves the compiled code of an earlier run beside the bundle, so that a
 * restarted process need not parse and compile it again. With SAVORYKNOT_WRITE_COMPILE_CACHE set, the code that this run
 * has compiled is written there at its end.
 */
// A signal to reload that comes while the program loads must not end it; the settings are still to be read.
process.on('SIGHUP', () => undefined)

const { readFileSync, writeFileSync } = require('node:fs')
const Module = require('node:module')
const { join } = require('node:path')
const { Script } = require('node:vm')

const BUNDLE_FILE = join(__dirname, 'savoryknotd-bundle.cjs')
const CACHE_FILE = join(__dirname, 'savoryknotd-bundle.cache')
const isWriting = process.env.SAVORYKNOT_WRITE_COMPILE_CACHE !== undefined

/** Undefined if the build left none; the bundle is then compiled as it runs. */
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
