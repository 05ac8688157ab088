/** Parses the command line and runs one command. */
import { cac, type CAC, type Command } from 'cac'
import { SavoryknotError } from '../common/SavoryknotError.js'
import { RefusedError, UnreachableError, UsageError } from './CommandErrors.js'
import type { IOperatorClient } from './Services.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommonOptions, type IOutput } from './Types.js'

const DEFAULT_NODE = '127.0.0.1:7403'

/** Dependencies of `CommandLine`. */
export interface ICommandLineOptions {
  readonly commands: readonly ICommand[]
  readonly output: IOutput
  /** Connects to a node; throws `UsageError` for keys that cannot be read. */
  readonly connect: (options: ICommonOptions) => IOperatorClient
  /** Environment variables with the defaults of options. */
  readonly environment: Readonly<Record<string, string | undefined>>
}

/** Parses arguments, runs the command and converts errors into exit codes. */
export class CommandLine {
  private _result: Promise<ExitCode> | undefined

  constructor (private readonly _options: ICommandLineOptions) {}

  /** `argv` does not contain the program, for example `['show', 'status']`. */
  public async run (argv: readonly string[]): Promise<ExitCode> {
    try {
      const parser = this._createParser()
      parser.parse(['node', 'savoryknotctl', ...argv], { run: false })
      if (parser.options.help === true) return EXIT_CODE.done
      if (parser.matchedCommand === undefined) return this._refuseUnknown(parser, argv)
      await parser.runMatchedCommand()
      return await (this._result ?? EXIT_CODE.done)
    } catch (error) {
      return this._toExitCode(error)
    }
  }

  private _createParser (): CAC {
    const parser = cac('savoryknotctl')
    for (const command of this._options.commands) this._addCommand(parser, command)
    parser.option('--node <host:port>', `Operator port of any node (default: SAVORYKNOT_NODE, else ${DEFAULT_NODE})`)
    parser.option('--json', 'Print JSON')
    parser.option('--certificate <file>', 'Operator certificate (default: SAVORYKNOT_CERTIFICATE)')
    parser.option('--key <file>', 'Key of the certificate (default: SAVORYKNOT_KEY)')
    parser.option('--authority <file>', 'Certificate authority that signed the node certificates (default: SAVORYKNOT_AUTHORITY)')
    parser.help()
    return parser
  }

  private _addCommand (parser: CAC, command: ICommand): Command {
    const added = parser.command(command.usage, command.summary)
    for (const option of command.options) added.option(option.flag, option.description)
    added.example(`  ${command.example}`)
    return added.action((...given: unknown[]) => {
      const options = given.at(-1) as Record<string, unknown>
      // cac passes the values of a variadic parameter as an array.
      const values = given.slice(0, -1).flat().filter((value) => value !== undefined).map(String)
      this._result = this._runCommand(command, values, options)
      return this._result
    })
  }

  private async _runCommand (command: ICommand, values: readonly string[], options: Record<string, unknown>): Promise<ExitCode> {
    let client: IOperatorClient | undefined
    const common = this._commonOptions(options)
    const connect = (): IOperatorClient => {
      client ??= this._options.connect(common)
      return client
    }
    try {
      return await command.run({ output: this._options.output, client: connect, isJson: common.json }, values, options)
    } finally {
      client?.close()
    }
  }

  private _commonOptions (options: Readonly<Record<string, unknown>>): ICommonOptions {
    const { environment } = this._options
    const text = (value: unknown): string | undefined => value === undefined ? undefined : String(value)
    return {
      node: text(options.node) ?? environment.SAVORYKNOT_NODE ?? DEFAULT_NODE,
      json: options.json === true,
      certificate: text(options.certificate) ?? environment.SAVORYKNOT_CERTIFICATE,
      key: text(options.key) ?? environment.SAVORYKNOT_KEY,
      authority: text(options.authority) ?? environment.SAVORYKNOT_AUTHORITY
    }
  }

  private _refuseUnknown (parser: CAC, argv: readonly string[]): ExitCode {
    if (argv.length === 0) parser.outputHelp()
    else this._options.output.error(`unknown command ${JSON.stringify(argv[0])}; see savoryknotctl --help`)
    return EXIT_CODE.invalid
  }

  private _toExitCode (error: unknown): ExitCode {
    const message = error instanceof Error ? error.message : String(error)
    this._options.output.error(message)
    if (error instanceof UnreachableError) return EXIT_CODE.unreachable
    const isExpected = error instanceof SavoryknotError || (error as Error).name === 'CACError'
    if (isExpected || error instanceof RefusedError || error instanceof UsageError) return EXIT_CODE.invalid
    throw error
  }
}
