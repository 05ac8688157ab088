/** Events of `src/platform/`; numbers 2000 to 2999. */
import type { IEventDefinition } from '../common/Services.js'

export const PLATFORM_UNAVAILABLE: IEventDefinition = Object.freeze({
  number: 2001,
  name: 'platform-unavailable',
  level: 'warn',
  meaning: 'Three consecutive requests failed. Logged once until one succeeds. Nodes keep serving with their present data; submissions are refused.'
})

export const PLATFORM_AVAILABLE: IEventDefinition = Object.freeze({
  number: 2002,
  name: 'platform-available',
  level: 'info',
  meaning: 'The platform responds again.'
})

export const PLATFORM_RESPONSE_LOST: IEventDefinition = Object.freeze({
  number: 2003,
  name: 'platform-answer-lost',
  level: 'warn',
  meaning: 'A write was sent but its response was lost. It may have taken effect; the writer must read to find out.'
})

export const PLATFORM_ROW_IGNORED: IEventDefinition = Object.freeze({
  number: 2004,
  name: 'platform-row-ignored',
  level: 'warn',
  meaning: 'A response of the platform contained rows without a valid key or position. The field rows is their number; all other rows are used.'
})

export const PLATFORM_EVENTS: readonly IEventDefinition[] = Object.freeze([
  PLATFORM_UNAVAILABLE, PLATFORM_AVAILABLE, PLATFORM_RESPONSE_LOST, PLATFORM_ROW_IGNORED
])
