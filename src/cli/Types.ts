/** Types of the command-line tool. */
import type { IOperatorClient } from './Services.js'

/** Exit codes of `savoryknotctl`. */
export const EXIT_CODE = Object.freeze({
  done: 0,
  /** The input or document is invalid, or the node refused the command. */
  invalid: 2,
  /** The current version of the document is not the expected one. */
  conflict: 3,
  /** No node or no store could be reached. */
  unreachable: 4,
  /** Accepted, but not in force everywhere before `--wait` expired. */
  notInForce: 5
} as const)

export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE]

/** Output of a command. */
export interface IOutput {
  /** True if the output is an interactive terminal. */
  readonly isTerminal: boolean
  /** Writes a line of the result to standard output. */
  line (text: string): void
  /** Writes a line about a fault to standard error. */
  error (text: string): void
  /** Replaces the current line of a terminal; does nothing if the output is not a terminal. */
  progress (text: string): void
}

/** Options common to all commands. */
export interface ICommonOptions {
  readonly node: string
  readonly json: boolean
  readonly certificate?: string
  readonly key?: string
  readonly authority?: string
}

/** One option of a command. */
export interface ICommandOption {
  /** In the syntax of `cac`, for example `--expect <version>`. */
  readonly flag: string
  readonly description: string
}

/** Environment in which a command runs. */
export interface ICommandContext {
  readonly output: IOutput
  /** Connects on first use. */
  readonly client: () => IOperatorClient
  readonly isJson: boolean
}

/** One command. */
export interface ICommand {
  /** In the syntax of `cac`, for example `show <service>`. */
  readonly usage: string
  readonly summary: string
  readonly options: readonly ICommandOption[]
  /** One line that can be run unchanged on the demonstration deployment. */
  readonly example: string
  /** `values` contains the positional arguments, `options` the values of flags. */
  run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode>
}
