/** `savoryknotctl burn`: shows burn rates of service-level objectives. */
import { writeFile } from 'node:fs/promises'
import { renderBurnPage } from '../../common/BurnPage.js'
import type { IClockService } from '../../common/Services.js'
import type { Timestamp } from '../../common/Types.js'
import type { ReceivedBurnStatus } from '../../generated/savoryknot/BurnStatus.js'
import { UsageError } from '../CommandErrors.js'
import { formatTable } from '../Table.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { optionalService } from './Arguments.js'

const MS_PER_MINUTE = 60_000
const MINUTES_PER_HOUR = 60
const BURN_DIGITS = 2

/** Prints burn rates of several windows by failure domain. */
export class BurnCommand implements ICommand {
  public readonly usage = 'burn [service]'
  public readonly summary = 'Show burn rates of service-level objectives by failure domain'
  public readonly options = [{ flag: '--html <file>', description: 'Also write a page with plots' }]
  public readonly example = 'savoryknotctl burn status --html burn.html'

  constructor (private readonly _clock: IClockService) {}

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const { reports } = await context.client().burn(optionalService(values[0]))
    if (options.html !== undefined) await writePage(String(options.html), reports, this._clock.now())
    if (context.isJson) context.output.line(JSON.stringify(reports))
    else if (reports.length === 0) context.output.line('no calls have been counted yet; nodes report their counts every few seconds')
    else printReports(context, reports)
    return EXIT_CODE.done
  }
}

async function writePage (file: string, reports: readonly ReceivedBurnStatus[], now: Timestamp): Promise<void> {
  try {
    await writeFile(file, renderBurnPage(reports, new Date(now)))
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`, { step: 'ctl.burn', cause: error })
  }
}

function printReports (context: ICommandContext, reports: readonly ReceivedBurnStatus[]): void {
  const rows = reports.flatMap((report) => report.windows.map((window) => [
    report.service, report.failureDomain, `${report.objective} %`, formatWindow(window.windowMs),
    String(window.good), String(window.bad), window.burnRate.toFixed(BURN_DIGITS)
  ]))
  for (const line of formatTable(['SERVICE', 'DOMAIN', 'OBJECTIVE', 'WINDOW', 'GOOD', 'BAD', 'BURN'], rows)) context.output.line(line)
}

/** Hours if the window is a multiple of an hour, otherwise minutes. */
function formatWindow (windowMs: number): string {
  const minutes = windowMs / MS_PER_MINUTE
  return minutes % MINUTES_PER_HOUR === 0 ? `${minutes / MINUTES_PER_HOUR} h` : `${minutes} min`
}
