/** Results of the steps of the demonstration. */
import { formatTable } from '../../src/cli/Table.js'

/** Result of one step. */
interface IStepResult {
  readonly name: string
  readonly holds: boolean
  readonly detail: string
}

/** Runs steps in order and records their results. */
export class StepTable {
  private readonly _results: IStepResult[] = []

  /** True if every step so far has passed. */
  public get haveAllPassed (): boolean {
    return this._results.every((result) => result.holds)
  }

  /** Runs one step. It passes if `perform` resolves with its detail, and fails if `perform` throws. */
  public async run (name: string, perform: () => Promise<string>): Promise<void> {
    try {
      this._add({ name, holds: true, detail: await perform() })
    } catch (error) {
      this._add({ name, holds: false, detail: error instanceof Error ? error.message : String(error) })
    }
  }

  /** Formats the table with one line per step. */
  public format (): string {
    const rows = this._results.map((result) => [result.holds ? 'held' : 'FAILED', result.name, result.detail.split('\n')[0] ?? ''])
    return formatTable(['RESULT', 'STEP', 'DETAIL'], rows).join('\n')
  }

  private _add (result: IStepResult): void {
    this._results.push(result)
    process.stdout.write(`${result.holds ? 'held  ' : 'FAILED'} ${result.name}: ${result.detail}\n`)
  }
}

/** Throws, and so fails the current step, unless `condition` is true. */
export function requireThat (condition: boolean, message: string): asserts condition {
  if (!condition) throw new Error(message)
}
