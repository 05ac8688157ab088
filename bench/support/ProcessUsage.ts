/** Reads the processor time and memory of another process from /proc. */
import { readFile } from 'node:fs/promises'

/** Clock ticks per second in /proc, the same on all Linux systems. */
const TICKS_PER_SECOND = 100
const BYTES_PER_KILOBYTE = 1_024
const BYTES_PER_MEGABYTE = 1_000_000
/** Positions of the user and system time among the fields after the program name. */
const USER_FIELD = 11
const SYSTEM_FIELD = 12

/** Total processor time of a process, in seconds. */
export async function readProcessorSeconds (processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND
}

/** Current and peak resident memory of a process, in megabytes. */
export async function readResidentMegabytes (processId: number): Promise<{ readonly current: number, readonly peak: number }> {
  const text = await readFile(`/proc/${processId}/status`, 'utf8')
  return { current: megabytesOf(text, 'VmRSS'), peak: megabytesOf(text, 'VmHWM') }
}

function megabytesOf (text: string, name: string): number {
  const match = new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(text)
  return Number(match?.[1] ?? Number.NaN) * BYTES_PER_KILOBYTE / BYTES_PER_MEGABYTE
}
