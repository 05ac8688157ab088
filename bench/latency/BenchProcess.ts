/** A process of a benchmark. */
import { fork, type ChildProcess as NodeChild } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { FromProcess, IUsage, ToProcess } from './Protocol.js'

/** Starts a module as a process, and talks to it. */
export class BenchProcess {
  private readonly _child: NodeChild
  private readonly _waiting: Array<{ resolve: (message: FromProcess) => void, reject: (error: Error) => void }> = []

  /** `module` is relative to this file; `settings` reaches the process as its only argument. */
  constructor (module: string, settings: object, execArguments: readonly string[] = []) {
    const path = fileURLToPath(new URL(module, import.meta.url))
    this._child = fork(path, [JSON.stringify(settings)], { execArgv: [...execArguments], stdio: ['ignore', 'ignore', 'inherit', 'ipc'] })
    this._child.on('message', (message) => this._waiting.shift()?.resolve(message as FromProcess))
    this._child.once('exit', () => {
      for (const { reject } of this._waiting.splice(0)) reject(new Error('a process of the benchmark ended'))
    })
  }

  /** Resolves with the next message of the given kind. */
  public async next<TKind extends FromProcess['kind']> (kind: TKind): Promise<Extract<FromProcess, { kind: TKind }>> {
    const message = await new Promise<FromProcess>((resolve, reject) => { this._waiting.push({ resolve, reject }) })
    if (message.kind !== kind) throw new Error(`expected ${kind}, got ${message.kind}`)
    return message as Extract<FromProcess, { kind: TKind }>
  }

  public send (message: ToProcess): void {
    this._child.send(message)
  }

  public usage (): Promise<IUsage> {
    this.send({ kind: 'ask-usage' })
    return this.next('usage')
  }

  /** Ends the process and waits for it. */
  public async stop (): Promise<void> {
    const ended = new Promise((resolve) => this._child.once('exit', resolve))
    this._child.kill('SIGTERM')
    await ended
  }
}

/** In a process: reports that it listens, answers questions about its usage, and runs other orders. */
export function serveBenchProcess (addresses: Readonly<Record<string, string>>, onOrder?: (order: ToProcess) => void): void {
  process.on('message', (order: ToProcess) => {
    if (order.kind === 'ask-usage') process.send?.(readUsage())
    else onOrder?.(order)
  })
  process.on('disconnect', () => process.exit(0))
  process.send?.({ kind: 'ready', addresses })
}

function readUsage (): IUsage {
  const { user, system } = process.cpuUsage()
  return { kind: 'usage', processorMicroseconds: user + system, residentBytes: process.memoryUsage.rss() }
}
