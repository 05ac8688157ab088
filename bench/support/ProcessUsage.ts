/** Processor time and memory of another process, from /proc. */
import { readFile } from 'node:fs/promises'

/** Clock ticks a second in /proc, the same on every Linux. */
const TICKS_PER_SECOND = 100
const BYTES_PER_KILOBYTE = 1_024
const BYTES_PER_MEGABYTE = 1_000_000
/** Positions of user and system time after the name of the program. */
const USER_FIELD = 11
const SYSTEM_FIELD = 12

/** Processor time of a process so far, in seconds. */
export async function readProcessorSeconds (processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND
}

/** Resident memory of a process in megabytes: now, and the most so far. */
export async function readResidentMegabytes (processId: number): Promise<{ readonly present: number, readonly peak: number }> {
  const text = await readFile(`/proc/${processId}/status`, 'utf8')
  return { present: megabytesOf(text, 'VmRSS'), peak: megabytesOf(text, 'VmHWM') }
}

function megabytesOf (text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(text)
  return Number(match?.[1] ?? Number.NaN) * BYTES_PER_KILOBYTE / BYTES_PER_MEGABYTE
}
