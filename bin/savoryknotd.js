#!/usr/bin/env node
// Ignores SIGHUP, which would terminate the process, while the program loads; the settings are read afterwards anyway.
process.on('SIGHUP', () => undefined)
await import('../dist/src/daemon/Main.js')
