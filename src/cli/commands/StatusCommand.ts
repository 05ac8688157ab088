/** `savoryknotctl status`: shows where accepted versions are in force. */
import type { IClockService } from '../../common/Services.js'
import type { Milliseconds } from '../../common/Types.js'
import type { ReceivedDomainStatus } from '../../generated/savoryknot/DomainStatus.js'
import type { ReceivedServiceStatus } from '../../generated/savoryknot/ServiceStatus.js'
import type { ReceivedStatusReply } from '../../generated/savoryknot/StatusReply.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { optionalService, requireNumber } from './Arguments.js'

const POLL_INTERVAL_MS = 250 as Milliseconds
const MS_PER_SECOND = 1_000

/** Prints the status, with `--wait` once all versions are in force everywhere or the time has expired. */
export class StatusCommand implements ICommand {
  public readonly usage = 'status [service]'
  public readonly summary = 'Show accepted versions and the failure domains where they are in force'
  public readonly options = [{ flag: '--wait <seconds>', description: 'Wait until in force everywhere; exit code 5 if it takes longer' }]
  public readonly example = 'savoryknotctl status status --wait 10'

  constructor (private readonly _clock: IClockService) {}

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const service = optionalService(values[0])
    const waitMs = options.wait === undefined ? 0 : requireNumber(options.wait, '--wait', 0) * MS_PER_SECOND
    const reply = await this._poll(context, service, waitMs)
    if (service !== '' && reply.services.length === 0) {
      context.output.error(`there is no service ${service}`)
      return EXIT_CODE.invalid
    }
    printStatus(context, reply)
    return options.wait !== undefined && !isInForce(reply) ? EXIT_CODE.notInForce : EXIT_CODE.done
  }

  private async _poll (context: ICommandContext, service: string, waitMs: number): Promise<ReceivedStatusReply> {
    const endAt = this._clock.now() + waitMs
    let reply = await context.client().status(service)
    while (!isInForce(reply) && this._clock.now() < endAt) {
      context.output.progress(summarize(reply))
      await this._clock.sleep(POLL_INTERVAL_MS)
      reply = await context.client().status(service)
    }
    return reply
  }
}

/** True if the store confirmed the accepted versions and all are in force everywhere. */
function isInForce (reply: ReceivedStatusReply): boolean {
  return reply.isConfirmedByStore && reply.services.every((service) => service.isInForceEverywhere)
}

/** One line of progress. */
function summarize (reply: ReceivedStatusReply): string {
  const done = reply.services.filter((service) => service.isInForceEverywhere).length
  return `in force everywhere: ${done} of ${reply.services.length} services`
}

function printStatus (context: ICommandContext, reply: ReceivedStatusReply): void {
  if (context.isJson) {
    context.output.line(JSON.stringify(reply))
    return
  }
  if (!reply.isConfirmedByStore) context.output.error('the store is unavailable: accepted versions are those known to this node')
  for (const service of reply.services) printService(context, service)
}

function printService (context: ICommandContext, service: ReceivedServiceStatus): void {
  const kind = service.isTombstone ? 'deleted as' : 'accepted as'
  const extent = service.isInForceEverywhere ? 'in force everywhere' : 'not in force everywhere yet'
  context.output.line(`${service.service}: ${kind} version ${service.acceptedVersion}, ${extent}`)
  for (const domain of service.domains) printDomain(context, service.acceptedVersion, domain)
}

function printDomain (context: ICommandContext, accepted: number, domain: ReceivedDomainStatus): void {
  if (!domain.isHeard) {
    const lastReport = domain.silenceMs === 0 ? 'never heard' : `not heard for ${Math.round(domain.silenceMs / MS_PER_SECOND)} s`
    context.output.line(`  ${domain.failureDomain}: ${lastReport}`)
    return
  }
  const members = domain.versions.filter((count) => count.version >= accepted).reduce((sum, count) => sum + count.members, 0)
  context.output.line(`  ${domain.failureDomain}: in force on ${members} of ${domain.members}`)
  for (const rejection of domain.rejections) {
    context.output.line(`    version ${rejection.version} rejected by ${rejection.node}: ${rejection.reason}`)
  }
}
