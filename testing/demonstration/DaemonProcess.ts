/** One `savoryknotd` in a process of its own, with any settings file. */
import { spawn, type ChildProcess, type ChildProcessByStdio } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'
import type { Readable } from 'node:stream'
import { REPOSITORY } from './Repository.js'

const MAXIMUM_KEPT_LINES = 20

/** Options of DaemonProcess. */
export interface IDaemonProcessOptions {
  /** Settings file. */
  readonly file: string
  /** Arguments of Node.js itself. */
  readonly nodeArguments: readonly string[]
  /** File to which the log is appended; without it the log is not written to a file. */
  readonly logFile?: string
}

/** Starts, monitors and signals the process. Signals are sent to this process only. */
export class DaemonProcess {
  private _child: ChildProcess | undefined
  private _exit: Promise<number | null> = Promise.resolve(null)
  private _lastLines: string[] = []

  constructor (private readonly _options: IDaemonProcessOptions) {}

  /** Process id; 0 before the first start. */
  public get processId (): number {
    return this._child?.pid ?? 0
  }

  /** Signal that terminated the process because it had no handler; undefined if none did. */
  public get exitSignal (): string | undefined {
    return this._child?.signalCode ?? undefined
  }

  /** The last lines of the process's output. */
  public get lastLines (): readonly string[] {
    return this._lastLines
  }

  /** True while the process runs, suspended or not. */
  public get isRunning (): boolean {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null
  }

  /** Resolves with the exit code once the process has exited; null after a signal that it did not handle. */
  public get exit (): Promise<number | null> {
    return this._exit
  }

  /** Starts the process. */
  public start (): void {
    this._lastLines = []
    const { file, nodeArguments } = this._options
    const command = [...nodeArguments, join(REPOSITORY, 'bin/savoryknotd.js'), '--settings', file]
    const child = spawn(process.execPath, command, { stdio: ['ignore', 'pipe', 'pipe'] })
    this._child = child
    this._exit = new Promise((resolve) => child.once('exit', (code) => resolve(code)))
    for (const stream of [child.stdout, child.stderr]) stream.setEncoding('utf8').on('data', (text: string) => this._keepLines(text))
    this._writeLog(child)
  }

  /** Requests a planned stop with SIGTERM; resolves with the exit code. */
  public stop (): Promise<number | null> {
    this._child?.kill('SIGTERM')
    return this._exit
  }

  /** Kills the process. */
  public async kill (): Promise<void> {
    this._child?.kill('SIGKILL')
    await this._exit
  }

  /** Makes the process reload its settings. */
  public reload (): void {
    this._child?.kill('SIGHUP')
  }

  /** Suspends the process, as a stalled VM does. */
  public suspend (): void {
    this._child?.kill('SIGSTOP')
  }

  /** Resumes a suspended process. */
  public resume (): void {
    this._child?.kill('SIGCONT')
  }

  private _writeLog ({ stdout, stderr }: ChildProcessByStdio<null, Readable, Readable>): void {
    const { logFile } = this._options
    if (logFile === undefined) return
    const file = createWriteStream(logFile, { flags: 'a' })
    for (const stream of [stdout, stderr]) stream.pipe(file, { end: false })
    stdout.once('close', () => file.end())
  }

  private _keepLines (text: string): void {
    this._lastLines = [...this._lastLines, ...text.split('\n').filter((line) => line !== '')].slice(-MAXIMUM_KEPT_LINES)
  }
}
