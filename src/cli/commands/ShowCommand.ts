/** `savoryknotctl show`: prints a document. */
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { requireNumber, requireService } from './Arguments.js'
import { describeChange } from './SubmitOutcome.js'

/** Prints the newest version or the given one. */
export class ShowCommand implements ICommand {
  public readonly usage = 'show <service>'
  public readonly summary = 'Print a document as it was submitted'
  public readonly options = [{ flag: '--version <number>', description: 'Version (default: the newest)' }]
  public readonly example = 'savoryknotctl show status --version 1'

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const service = requireService(values[0])
    const version = options.version === undefined ? 0 : requireNumber(options.version, '--version', 1)
    const reply = await context.client().show(service, version)
    if (reply.change === null) {
      context.output.error(version === 0 ? `there is no service ${service}` : `there is no version ${version} of ${service}`)
      return EXIT_CODE.invalid
    }
    if (context.isJson) context.output.line(JSON.stringify(reply))
    else printText(context, reply.text, `; ${describeChange(reply.change)}${reply.change.isTombstone ? ' (deleted)' : ''}`)
    return EXIT_CODE.done
  }
}

/** The heading goes to standard error, so that standard output contains only the document. */
function printText (context: ICommandContext, text: string, heading: string): void {
  context.output.error(heading)
  if (text !== '') context.output.line(text.trimEnd())
}
