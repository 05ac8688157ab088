/** Pages of docs/ that are generated from the code. */
import { ClockService } from '../common/ClockService.js'
import { createCommands } from '../cli/Commands.js'
import { writeManualPage } from '../cli/Manual.js'
import { DocumentParser } from '../documents/DocumentParser.js'
import { writeDocumentsPage } from '../documents/ReferencePage.js'
import { ALL_EVENTS, writeEventsPage } from './EventCatalogue.js'
import { writeSettingsPage } from './SettingsPage.js'

/** A generated page. */
export interface IPage {
  /** Path relative to the root of the repository. */
  readonly file: string
  write (): string
}

export const PAGES: readonly IPage[] = Object.freeze([
  { file: 'docs/EVENTS.md', write: () => writeEventsPage(ALL_EVENTS) },
  { file: 'docs/DOCUMENTS.md', write: writeDocumentsPage },
  { file: 'docs/SETTINGS.md', write: writeSettingsPage },
  { file: 'docs/SAVORYKNOTCTL.md', write: () => writeManualPage(createCommands({ parser: new DocumentParser(), clock: new ClockService() })) }
])
