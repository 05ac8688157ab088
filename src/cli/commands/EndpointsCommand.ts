/** `savoryknotctl endpoints`: lists endpoints. */
import { formatTable } from '../Table.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { optionalService } from './Arguments.js'

/** Lists the endpoints that may receive calls, as known to the responding node. */
export class EndpointsCommand implements ICommand {
  public readonly usage = 'endpoints [service]'
  public readonly summary = 'List the endpoints known to the responding node'
  public readonly options = []
  public readonly example = 'savoryknotctl endpoints fees'

  public async run (context: ICommandContext, values: readonly string[]): Promise<ExitCode> {
    const { endpoints } = await context.client().endpoints(optionalService(values[0]))
    if (context.isJson) {
      context.output.line(JSON.stringify(endpoints))
      return EXIT_CODE.done
    }
    const rows = endpoints.map((endpoint) => [
      endpoint.service, endpoint.endpoint, endpoint.failureDomain, endpoint.gateAddress, endpoint.state, String(endpoint.slots), endpoint.isReachable ? 'yes' : 'no'
    ])
    for (const line of formatTable(['SERVICE', 'ENDPOINT', 'DOMAIN', 'GATE', 'STATE', 'SLOTS', 'REACHABLE'], rows)) context.output.line(line)
    return EXIT_CODE.done
  }
}
