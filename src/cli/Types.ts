/** Shapes of the command-line tool. */
import type { IOperatorClient } from './Services.js'

/** Exit codes of `savoryknotctl`. */
export const EXIT_CODE = Object.freeze({
  done: 0,
  /** Invalid input or document, or a refusal. */
  invalid: 2,
  /** The document's version is not the one that was expected. */
  conflict: 3,
  /** No node or no store could be reached. */
  unreachable: 4,
  /** Accepted, but not in force everywhere within the time of `--wait`. */
  notInForce: 5
} as const)

export type ExitCode = typeof EXIT_CODE[keyof typeof EXIT_CODE]

/** Where a command writes. */
export interface IOutput {
  /** True if people watch the output. */
  readonly isTerminal: boolean
  /** A line of result, to standard output. */
  line (text: string): void
  /** A line about a fault, to standard error. */
  error (text: string): void
  /** Replaces the present line on a terminal; does nothing elsewhere. */
  progress (text: string): void
}

/** Options that every command has. */
export interface ICommonOptions {
  readonly node: string
  readonly json: boolean
  readonly certificate?: string
  readonly key?: string
  readonly authority?: string
}

/** One option of a command. */
export interface ICommandOption {
  /** As `cac` reads it, for example `--expect <version>`. */
  readonly flag: string
  readonly description: string
}

/** What a command gets. */
export interface ICommandContext {
  readonly output: IOutput
  /** Connects on first use. */
  readonly client: () => IOperatorClient
  readonly isJson: boolean
}

/** One command. */
export interface ICommand {
  /** As `cac` reads it, for example `show <service>`. */
  readonly usage: string
  readonly summary: string
  readonly options: readonly ICommandOption[]
  /** One line that works as it stands on the demonstration. */
  readonly example: string
  /** `values` holds the positional arguments, `options` what was given by flag. */
  run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode>
}
