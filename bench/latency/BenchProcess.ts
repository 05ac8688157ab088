/** Child processes of a benchmark, and the messages between them and the benchmark. */
import { fork, type ChildProcess as NodeChild } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import type { ProcessMessage, IUsage, ProcessRequest } from './Protocol.js'

/** Starts a module as a child process and exchanges messages with it. */
export class BenchProcess {
  private readonly _child: NodeChild
  private readonly _pending: Array<{ resolve: (message: ProcessMessage) => void, reject: (error: Error) => void }> = []

  /** `module` is relative to this file; `settings` is passed to the process as its only argument, in JSON. */
  constructor (module: string, settings: object, execArguments: readonly string[] = []) {
    const path = fileURLToPath(new URL(module, import.meta.url))
    this._child = fork(path, [JSON.stringify(settings)], { execArgv: [...execArguments], stdio: ['ignore', 'ignore', 'inherit', 'ipc'] })
    this._child.on('message', (message) => this._pending.shift()?.resolve(message as ProcessMessage))
    this._child.once('exit', () => {
      for (const { reject } of this._pending.splice(0)) reject(new Error('a child process of the benchmark exited'))
    })
  }

  /** Resolves with the next message of the given kind. */
  public async next<TKind extends ProcessMessage['kind']> (kind: TKind): Promise<Extract<ProcessMessage, { kind: TKind }>> {
    const message = await new Promise<ProcessMessage>((resolve, reject) => { this._pending.push({ resolve, reject }) })
    if (message.kind !== kind) throw new Error(`expected ${kind}, got ${message.kind}`)
    return message as Extract<ProcessMessage, { kind: TKind }>
  }

  public send (message: ProcessRequest): void {
    this._child.send(message)
  }

  public usage (): Promise<IUsage> {
    this.send({ kind: 'ask-usage' })
    return this.next('usage')
  }

  /** Terminates the process and waits until it has exited. */
  public async stop (): Promise<void> {
    const ended = new Promise((resolve) => this._child.once('exit', resolve))
    this._child.kill('SIGTERM')
    await ended
  }
}

/** In a child process: reports the addresses on which it listens, responds to usage requests, passes other requests to `onRequest`. */
export function serveBenchProcess (addresses: Readonly<Record<string, string>>, onRequest?: (request: ProcessRequest) => void): void {
  process.on('message', (request: ProcessRequest) => {
    if (request.kind === 'ask-usage') process.send?.(readUsage())
    else onRequest?.(request)
  })
  process.on('disconnect', () => process.exit(0))
  process.send?.({ kind: 'ready', addresses })
}

function readUsage (): IUsage {
  const { user, system } = process.cpuUsage()
  return { kind: 'usage', processorMicroseconds: user + system, residentBytes: process.memoryUsage.rss() }
}
