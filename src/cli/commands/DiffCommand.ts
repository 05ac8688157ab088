/** `savoryknotctl diff`: compares two versions. */
import { createTwoFilesPatch } from 'diff'
import { RefusedError } from '../CommandErrors.js'
import type { IOperatorClient } from '../Services.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { requireNumber, requireService } from './Arguments.js'

/** Prints a unified diff. */
export class DiffCommand implements ICommand {
  public readonly usage = 'diff <service> <a> <b>'
  public readonly summary = 'Compare two versions of a document'
  public readonly options = []
  public readonly example = 'savoryknotctl diff status 1 2'

  public async run (context: ICommandContext, values: readonly string[]): Promise<ExitCode> {
    const service = requireService(values[0])
    const versions = [requireNumber(values[1], 'A', 1), requireNumber(values[2], 'B', 1)]
    const client = context.client()
    const [before, after] = await Promise.all(versions.map((version) => readText(client, service, version)))
    const [from, to] = versions.map((version) => `${service} version ${version}`)
    const patch = createTwoFilesPatch(from ?? '', to ?? '', before ?? '', after ?? '')
    context.output.line(context.isJson ? JSON.stringify({ service, versions, patch }) : patch.trimEnd())
    return EXIT_CODE.done
  }
}

/** Text of one version; the text of a deletion is empty. */
async function readText (client: IOperatorClient, service: string, version: number): Promise<string> {
  const reply = await client.show(service, version)
  if (reply.change === null) throw new RefusedError(`there is no version ${version} of ${service}`, { step: 'ctl.diff' })
  return reply.text
}
