/** All commands of `savoryknotctl`. */
import type { IClockService } from '../common/Services.js'
import type { IDocumentParser } from '../documents/Services.js'
import { BurnCommand } from './commands/BurnCommand.js'
import { CheckCommand } from './commands/CheckCommand.js'
import { CompletionCommand } from './commands/CompletionCommand.js'
import { DeleteCommand } from './commands/DeleteCommand.js'
import { DiffCommand } from './commands/DiffCommand.js'
import { EndpointsCommand } from './commands/EndpointsCommand.js'
import { ExplainCommand } from './commands/ExplainCommand.js'
import { HelpCommand } from './commands/HelpCommand.js'
import { HistoryCommand } from './commands/HistoryCommand.js'
import { KeysCommand } from './commands/KeysCommand.js'
import { NodesCommand } from './commands/NodesCommand.js'
import { ShowCommand } from './commands/ShowCommand.js'
import { StatusCommand } from './commands/StatusCommand.js'
import { SubmitCommand } from './commands/SubmitCommand.js'
import type { ICommand } from './Types.js'

/** Dependencies of the commands. */
export interface ICommandsOptions {
  readonly parser: IDocumentParser
  readonly clock: IClockService
}

/** Creates the commands in the order of the help. */
export function createCommands (options: ICommandsOptions): readonly ICommand[] {
  const commands: readonly ICommand[] = [
    new CheckCommand(options.parser),
    new SubmitCommand(options.parser),
    new DeleteCommand(),
    new ShowCommand(),
    new HistoryCommand(),
    new DiffCommand(),
    new StatusCommand(options.clock),
    new EndpointsCommand(),
    new BurnCommand(options.clock),
    new NodesCommand(),
    new ExplainCommand(),
    new KeysCommand(options.clock)
  ]
  return [...commands, new CompletionCommand(commands), new HelpCommand(commands)]
}
