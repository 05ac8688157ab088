/** `savoryknotctl history`: lists accepted versions. */
import { formatTable } from '../Table.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { requireNumber, requireService } from './Arguments.js'

const HASH_DIGITS = 12

/** Lists the newest version first. */
export class HistoryCommand implements ICommand {
  public readonly usage = 'history <service>'
  public readonly summary = 'List accepted versions, the newest first'
  public readonly options = [{ flag: '--limit <number>', description: 'Maximum number of versions (default: 20)' }]
  public readonly example = 'savoryknotctl history status --limit 5'

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const service = requireService(values[0])
    const limit = options.limit === undefined ? 0 : requireNumber(options.limit, '--limit', 1)
    const { changes } = await context.client().history(service, limit)
    if (changes.length === 0) {
      context.output.error(`there is no service ${service}`)
      return EXIT_CODE.invalid
    }
    if (context.isJson) {
      context.output.line(JSON.stringify(changes))
      return EXIT_CODE.done
    }
    const rows = changes.map((change) => [
      String(change.version), new Date(change.acceptedAt).toISOString(), change.author, change.isTombstone ? 'deleted' : change.hash.slice(0, HASH_DIGITS)
    ])
    for (const line of formatTable(['VERSION', 'ACCEPTED', 'AUTHOR', 'CONTENT'], rows)) context.output.line(line)
    return EXIT_CODE.done
  }
}
