/** One `savoryknotd` as a process of its own, whatever its settings are. */
import { spawn, type ChildProcess, type ChildProcessByStdio } from 'node:child_process'
import { createWriteStream } from 'node:fs'
import { join } from 'node:path'
import type { Readable } from 'node:stream'
import { REPOSITORY } from './Repository.js'

/** Last lines of the log that are kept. */
const KEPT_LINES = 20

/** How the process is started. */
export interface IDaemonProcessOptions {
  /** Settings file. */
  readonly file: string
  /** Arguments of Node.js itself. */
  readonly nodeArguments: readonly string[]
  /** File to which the log is added; none if not given. */
  readonly logFile?: string
}

/** Starts, watches and signals the process. Signals go to this process only. */
export class DaemonProcess {
  private _child: ChildProcess | undefined
  private _exit: Promise<number | null> = Promise.resolve(null)
  private _lastLines: string[] = []

  constructor (private readonly _options: IDaemonProcessOptions) {}

  /** Process id; 0 before the first start. */
  public get processId (): number {
    return this._child?.pid ?? 0
  }

  /** Signal that ended the process for want of a handler; undefined if none did. */
  public get endedBy (): string | undefined {
    return this._child?.signalCode ?? undefined
  }

  /** What the process logged last. */
  public get lastLines (): readonly string[] {
    return this._lastLines
  }

  /** True while the process runs, paused or not. */
  public get isRunning (): boolean {
    return this._child !== undefined && this._child.exitCode === null && this._child.signalCode === null
  }

  /** Resolves with the exit code once the process has ended; null after a signal that it did not handle. */
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

  /** Asks for a planned stop; resolves with the exit code. */
  public stop (): Promise<number | null> {
    this._child?.kill('SIGTERM')
    return this._exit
  }

  /** Ends the process at once. */
  public async kill (): Promise<void> {
    this._child?.kill('SIGKILL')
    await this._exit
  }

  /** Lets the process read its settings again. */
  public reload (): void {
    this._child?.kill('SIGHUP')
  }

  /** Pauses the process, as a stalled VM does. */
  public freeze (): void {
    this._child?.kill('SIGSTOP')
  }

  /** Lets a paused process go on. */
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
    this._lastLines = [...this._lastLines, ...text.split('\n').filter((line) => line !== '')].slice(-KEPT_LINES)
  }
}
