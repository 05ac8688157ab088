/** `savoryknotctl completion`: prints a completion script. */
import { nameOf } from '../Manual.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'

const COMMON_FLAGS = ['--node', '--json', '--certificate', '--key', '--authority', '--help']

/** Prints completions for the given commands and their flags. */
export class CompletionCommand implements ICommand {
  public readonly usage = 'completion'
  public readonly summary = 'Print a completion script for bash'
  public readonly options = []
  public readonly example = 'savoryknotctl completion > savoryknotctl.bash'

  constructor (private readonly _commands: readonly ICommand[]) {}

  public async run (context: ICommandContext): Promise<ExitCode> {
    const current = expand('COMP_WORDS[COMP_CWORD]')
    const cases = this._commands.map((command) => `    ${nameOf(command)}) words="${flagsOf(command).join(' ')}" ;;`)
    context.output.line([
      '_savoryknotctl () {',
      '  local words',
      // The first word is completed to a command, further words to flags of the command and file names.
      `  case "${expand('COMP_WORDS[1]')}" in`,
      ...cases,
      `    *) words="${this._commands.map(nameOf).join(' ')}" ;;`,
      '  esac',
      `  COMPREPLY=($(compgen -W "$words" -- "${current}") $(compgen -f -- "${current}"))`,
      '}',
      'complete -F _savoryknotctl savoryknotctl'
    ].join('\n'))
    return EXIT_CODE.done
  }
}

/** Returns a parameter expansion of the shell. */
function expand (expression: string): string {
  return `$\{${expression}}`
}

/** Flags of a command without their values. */
function flagsOf (command: ICommand): string[] {
  return [...command.options.map((option) => option.flag.split(' ')[0] ?? ''), ...COMMON_FLAGS]
}
