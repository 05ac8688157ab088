/** The steps of the demonstration and whether each held. */
import { formatTable } from '../../src/cli/Table.js'

/** One step as it went. */
interface IStepResult {
  readonly name: string
  readonly holds: boolean
  readonly detail: string
}

/** Runs steps in order and keeps what happened. */
export class StepTable {
  private readonly _results: IStepResult[] = []

  /** True if every step so far held. */
  public get allHold (): boolean {
    return this._results.every((result) => result.holds)
  }

  /** Runs one step. It holds if `work` gives its detail; it does not if `work` throws. */
  public async run (name: string, work: () => Promise<string>): Promise<void> {
    try {
      this._add({ name, holds: true, detail: await work() })
    } catch (error) {
      this._add({ name, holds: false, detail: error instanceof Error ? error.message : String(error) })
    }
  }

  /** The table, one line a step. */
  public format (): string {
    const rows = this._results.map((result) => [result.holds ? 'held' : 'FAILED', result.name, result.detail.split('\n')[0] ?? ''])
    return formatTable(['RESULT', 'STEP', 'DETAIL'], rows).join('\n')
  }

  private _add (result: IStepResult): void {
    this._results.push(result)
    process.stdout.write(`${result.holds ? 'held  ' : 'FAILED'} ${result.name}: ${result.detail}\n`)
  }
}

/** Fails the present step unless `condition` holds. */
export function requireThat (condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message)
}
