#!/usr/bin/env node
// A signal to reload that comes while the program loads must not end it; the settings are still to be read.
process.on('SIGHUP', () => undefined)
await import('../dist/src/daemon/Main.js')
