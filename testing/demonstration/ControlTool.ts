/** Runs `savoryknotctl` as an operator would. */
import { spawn } from 'node:child_process'
import { join } from 'node:path'
import { REPOSITORY } from './Repository.js'

/** What one run printed and how it ended. */
export interface IToolResult {
  readonly exitCode: number | null
  readonly output: string
}

/** Runs the tool against one node. */
export async function runTool (node: string, words: readonly string[]): Promise<IToolResult> {
  const child = spawn(process.execPath, [join(REPOSITORY, 'bin/savoryknotctl.js'), ...words, '--node', node], { cwd: REPOSITORY })
  let output = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => { output += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { output += text })
  const exitCode = await new Promise<number | null>((resolve) => child.once('close', resolve))
  return { exitCode, output: output.trim() }
}
