// Loaded before a daemon of the soak: its time of day jumps by up to an hour, forwards and back.
const JUMP_INTERVAL_MS = 1_500
const LONGEST_JUMP_MS = 3_600_000

const timeOfDay = Date.now.bind(Date)
let offset = 0
Date.now = () => timeOfDay() + offset
setInterval(() => { offset = Math.round((Math.random() * 2 - 1) * LONGEST_JUMP_MS) }, JUMP_INTERVAL_MS).unref()
