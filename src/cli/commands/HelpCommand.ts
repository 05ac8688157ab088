/** `savoryknotctl help`: prints the manual of one command. */
import { UsageError } from '../CommandErrors.js'
import { describeCommand, nameOf } from '../Manual.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'

/** Prints the manual of one of the given commands. */
export class HelpCommand implements ICommand {
  public readonly usage = 'help <command>'
  public readonly summary = 'Print the manual of a command'
  public readonly options = []
  public readonly example = 'savoryknotctl help submit'

  constructor (private readonly _commands: readonly ICommand[]) {}

  public async run (context: ICommandContext, values: readonly string[]): Promise<ExitCode> {
    const command = this._commands.find((candidate) => nameOf(candidate) === values[0])
    if (command === undefined) throw new UsageError(`unknown command ${JSON.stringify(values[0] ?? '')}`, { step: 'ctl.help' })
    context.output.line(describeCommand(command).join('\n'))
    return EXIT_CODE.done
  }
}
