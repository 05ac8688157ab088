/** Pages of docs/ that are made from the code. */
import { ALL_EVENTS, writeEventsPage } from './EventCatalogue.js'

/** One page. */
export interface IPage {
  /** Relative to the repository. */
  readonly file: string
  write (): string
}

export const PAGES: readonly IPage[] = Object.freeze([
  { file: 'docs/EVENTS.md', write: () => writeEventsPage(ALL_EVENTS) }
])
