/** Error of a settings file. */
import { SavoryknotError } from '../../common/SavoryknotError.js'
import type { ISettingsFault } from './Types.js'

/** The settings are invalid; the message lists every fault. */
export class SettingsError extends SavoryknotError {
  constructor (public readonly file: string, public readonly faults: readonly ISettingsFault[]) {
    super(faults.map((fault) => describeFault(file, fault)).join('\n'), { step: 'settings.read' })
  }
}

function describeFault (file: string, fault: ISettingsFault): string {
  const location = fault.section === '' ? '' : `[${fault.section}]${fault.key === '' ? '' : ` ${fault.key}`}: `
  return `${file}: ${location}${fault.message}`
}
