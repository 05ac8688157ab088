/** `savoryknotctl nodes`: lists nodes. */
import { formatTable } from '../Table.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'

/** Lists the members known to the responding node. */
export class NodesCommand implements ICommand {
  public readonly usage = 'nodes'
  public readonly summary = 'List the nodes known to the responding node'
  public readonly options = []
  public readonly example = 'savoryknotctl nodes'

  public async run (context: ICommandContext): Promise<ExitCode> {
    const reply = await context.client().nodes()
    if (context.isJson) {
      context.output.line(JSON.stringify(reply))
      return EXIT_CODE.done
    }
    const rows = reply.nodes.map((node) => [
      node.id, node.failureDomain, node.region, node.peerAddress, node.state.toLowerCase(), String(node.incarnation), node.software
    ])
    for (const line of formatTable(['NODE', 'DOMAIN', 'REGION', 'PEER', 'STATE', 'INCARNATION', 'SOFTWARE'], rows)) context.output.line(line)
    context.output.line(`answered by ${reply.answeredBy}, caught up with: ${reply.catchUpSource}`)
    return EXIT_CODE.done
  }
}
