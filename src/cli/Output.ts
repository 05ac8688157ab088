/** Writes results, faults and progress. */
import type { IOutput } from './Types.js'

const CLEAR_LINE = '\r\u001B[K'

/** Writes to the standard streams of the process. */
export class Output implements IOutput {
  private _hasProgress = false

  public get isTerminal (): boolean {
    return process.stdout.isTTY === true
  }

  public line (text: string): void {
    this._endProgress()
    process.stdout.write(`${text}\n`)
  }

  public error (text: string): void {
    this._endProgress()
    process.stderr.write(`${text}\n`)
  }

  public progress (text: string): void {
    if (!this.isTerminal) return
    process.stdout.write(`${CLEAR_LINE}${text}`)
    this._hasProgress = true
  }

  private _endProgress (): void {
    if (this._hasProgress) process.stdout.write(CLEAR_LINE)
    this._hasProgress = false
  }
}
