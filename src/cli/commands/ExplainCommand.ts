/** `savoryknotctl explain`: shows the timeline of one request from the logs of the nodes. */
import { readFile } from 'node:fs/promises'
import { text as readStream } from 'node:stream/consumers'
import { UsageError } from '../CommandErrors.js'
import { readLogs } from '../explain/LogReader.js'
import { buildTimeline, type IRequestTimeline } from '../explain/RequestTimeline.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'

const STANDARD_INPUT = '-'
const TIME_WIDTH = 9

/** Reads the logs of any number of nodes and prints their entries on one request in order of time. */
export class ExplainCommand implements ICommand {
  public readonly usage = 'explain <request> [...logs]'
  public readonly summary = 'Show the steps of one request and the reason of its outcome, from the logs of the nodes'
  public readonly options = []
  public readonly example = 'savoryknotctl explain 9c41d07be2a35f68 logs/*.log'

  public async run (context: ICommandContext, values: readonly string[]): Promise<ExitCode> {
    const [request, ...files] = values
    if (request === undefined) throw new UsageError('the id of a request is needed', { step: 'ctl.arguments' })
    const content = readLogs(await Promise.all((files.length === 0 ? [STANDARD_INPUT] : files).map(readLog)))
    const timeline = buildTimeline(request, content)
    if (timeline === undefined) {
      context.output.error(`none of ${content.lines.length} log lines contains request ${request}${describeSpan(content.lines)}`)
      return EXIT_CODE.invalid
    }
    if (context.isJson) context.output.line(JSON.stringify(timeline))
    else for (const line of formatTimeline(timeline)) context.output.line(line)
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
  return `; the logs cover ${new Date(first.at).toISOString()} to ${new Date(last.at).toISOString()}`
}

function formatTimeline ({ request, arrivedAt, steps, ending, gaps }: IRequestTimeline): string[] {
  const arrival = arrivedAt === undefined ? 'arrival unknown' : `arrived at ${new Date(arrivedAt).toISOString()}`
  return [
    `request ${request}, ${arrival}`,
    ...steps.map(({ afterMs, node, text }) => `${`${afterMs} ms`.padStart(TIME_WIDTH)}  ${node}  ${text}`),
    `why: ${ending}`,
    ...gaps.map((gap) => `gap: ${gap}`)
  ]
}
