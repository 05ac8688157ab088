/** `savoryknotctl explain`: the way of one request by the logs of the nodes. */
import { readFile } from 'node:fs/promises'
import { text as readStream } from 'node:stream/consumers'
import { UsageError } from '../CommandErrors.js'
import { readLogs } from '../explain/LogReader.js'
import { tellStory, type IRequestStory } from '../explain/RequestStory.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'

const STANDARD_INPUT = '-'
const TIME_WIDTH = 9

/** Reads logs of any number of nodes and prints what they say of a request, in order. */
export class ExplainCommand implements ICommand {
  public readonly usage = 'explain <request> [...logs]'
  public readonly summary = 'Show the way of one request and why it ended as it did, from the logs of the nodes'
  public readonly options = []
  public readonly example = 'savoryknotctl explain 9c41d07be2a35f68 logs/*.log'

  public async run (context: ICommandContext, values: readonly string[]): Promise<ExitCode> {
    const [request, ...files] = values
    if (request === undefined) throw new UsageError('the id of a request is needed', { step: 'ctl.arguments' })
    const content = readLogs(await Promise.all((files.length === 0 ? [STANDARD_INPUT] : files).map(readLog)))
    const story = tellStory(request, content)
    if (story === undefined) {
      context.output.error(`no line of ${content.lines.length} names request ${request}${describeSpan(content.lines)}`)
      return EXIT_CODE.invalid
    }
    if (context.isJson) context.output.line(JSON.stringify(story))
    else for (const line of formatStory(story)) context.output.line(line)
    return EXIT_CODE.done
  }
}

async function readLog (file: string): Promise<string> {
  if (file === STANDARD_INPUT) return await readStream(process.stdin)
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`, { step: 'ctl.read', cause: error })
  }
}

function describeSpan (lines: ReadonlyArray<{ readonly at: number }>): string {
  const first = lines[0]
  const last = lines.at(-1)
  if (first === undefined || last === undefined) return ''
  return `; the logs reach from ${new Date(first.at).toISOString()} to ${new Date(last.at).toISOString()}`
}

function formatStory ({ request, arrivedAt, steps, ending, gaps }: IRequestStory): string[] {
  const arrival = arrivedAt === undefined ? 'arrival unknown' : `came in at ${new Date(arrivedAt).toISOString()}`
  return [
    `request ${request}, ${arrival}`,
    ...steps.map(({ afterMs, node, text }) => `${`${afterMs} ms`.padStart(TIME_WIDTH)}  ${node}  ${text}`),
    `why: ${ending}`,
    ...gaps.map((gap) => `gap: ${gap}`)
  ]
}
