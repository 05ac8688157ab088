// Preloaded into the daemons of the soak: shifts the wall clock by up to an hour, forwards and backwards.
const JUMP_INTERVAL_MS = 1_500
const MAXIMUM_JUMP_MS = 3_600_000

const wallClock = Date.now.bind(Date)
let offset = 0
Date.now = () => wallClock() + offset
setInterval(() => { offset = Math.round((Math.random() * 2 - 1) * MAXIMUM_JUMP_MS) }, JUMP_INTERVAL_MS).unref()
