/** Runs `savoryknotctl` as an operator would. */
import { spawn } from 'node:child_process'
import { basename, join } from 'node:path'
import { REPOSITORY } from './Repository.js'

/** Output and exit code of one run. */
export interface IToolResult {
  readonly exitCode: number | null
  readonly output: string
}

/** One run of the tool, with its arguments. */
export interface IToolRun extends IToolResult {
  readonly args: readonly string[]
  /** File name of the certificate in use; undefined without one. */
  readonly certificate: string | undefined
}

/** Called with every command and its output. */
export type ToolListener = (run: IToolRun) => void

const listeners = new Set<ToolListener>()

/** Adds a listener for all runs. */
export function onToolRun (listener: ToolListener): void {
  listeners.add(listener)
}

/** Environment variables of every run; they select the key files. */
const environment: NodeJS.ProcessEnv = { ...process.env }

/** Makes every later run use the key files of this operator. */
export function useOperatorKeys (folder: string, name: string): void {
  environment.SAVORYKNOT_CERTIFICATE = join(folder, `${name}.pem`)
  environment.SAVORYKNOT_KEY = join(folder, `${name}.key`)
  environment.SAVORYKNOT_AUTHORITY = join(folder, 'authority.pem')
}

/** Runs the tool against one node. */
export async function runTool (node: string, args: readonly string[]): Promise<IToolResult> {
  const file = join(REPOSITORY, 'bin/savoryknotctl.js')
  const child = spawn(process.execPath, [file, ...args, '--node', node], { cwd: REPOSITORY, env: environment })
  let output = ''
  child.stdout.setEncoding('utf8').on('data', (text: string) => { output += text })
  child.stderr.setEncoding('utf8').on('data', (text: string) => { output += text })
  const exitCode = await new Promise<number | null>((resolve) => child.once('close', resolve))
  const result = { exitCode, output: output.trim() }
  const certificate = environment.SAVORYKNOT_CERTIFICATE
  const run = { ...result, args, certificate: certificate === undefined ? undefined : basename(certificate) }
  for (const listener of listeners) listener(run)
  return result
}
