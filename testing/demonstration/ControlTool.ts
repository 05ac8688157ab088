/** Runs `savoryknotctl` as an operator would. */
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { REPOSITORY } from './Repository.js'

/** What one run printed and how it ended. */
export interface IToolResult {
  readonly exitCode: number | null
  readonly output: string
}

/** Called with every command and what it printed. */
export type ToolListener = (words: readonly string[], result: IToolResult) => void

const listeners = new Set<ToolListener>()

/** Adds a listener to all runs. */
export function onToolRun (listener: ToolListener): void {
  listeners.add(listener)
}

/** Runs the tool against one node. */
export async function runTool (node: string, words: readonly string[]): Promise<IToolResult> {
  const child = spawn(process.execPath, [join(REPOSITORY, 'bin/savoryknotctl.js'), ...words, '--node', node], { cwd: REPOSITORY })
  let output = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => { output += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { output += text })
  const exitCode = await new Promise<number | null>((resolve) => child.once('close', resolve))
  const result = { exitCode, output: output.trim() }
  for (const listener of listeners) listener(words, result)
  return result
}
