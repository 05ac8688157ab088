/** Runs `savoryknotctl` as an operator would. */
import { spawn } from 'node:child_process'
import { basename, join } from 'node:path'
import { REPOSITORY } from './Repository.js'

/** What one run printed and how it ended. */
export interface IToolResult {
  readonly exitCode: number | null
  readonly output: string
}

/** One run of the tool. */
export interface IToolRun extends IToolResult {
  readonly words: readonly string[]
  /** File of the certificate that was used, without its folder. */
  readonly certificate: string | undefined
}

/** Called with every command and what it printed. */
export type ToolListener = (run: IToolRun) => void

const listeners = new Set<ToolListener>()

/** Adds a listener to all runs. */
export function onToolRun (listener: ToolListener): void {
  listeners.add(listener)
}

/** Environment variables of every run, for keys. */
const environment: NodeJS.ProcessEnv = { ...process.env }

/** Gives every later run the keys of an operator. */
export function useOperatorKeys (folder: string, name: string): void {
  environment.SAVORYKNOT_CERTIFICATE = join(folder, `${name}.pem`)
  environment.SAVORYKNOT_KEY = join(folder, `${name}.key`)
  environment.SAVORYKNOT_AUTHORITY = join(folder, 'authority.pem')
}

/** Runs the tool against one node. */
export async function runTool (node: string, words: readonly string[]): Promise<IToolResult> {
  const file = join(REPOSITORY, 'bin/savoryknotctl.js')
  const child = spawn(process.execPath, [file, ...words, '--node', node], { cwd: REPOSITORY, env: environment })
  let output = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => { output += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { output += text })
  const exitCode = await new Promise<number | null>((resolve) => child.once('close', resolve))
  const result = { exitCode, output: output.trim() }
  const certificate = environment.SAVORYKNOT_CERTIFICATE
  const run = { ...result, words, certificate: certificate === undefined ? undefined : basename(certificate) }
  for (const listener of listeners) listener(run)
  return result
}
