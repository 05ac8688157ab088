/** Events of platform/, numbers 2000 to 2999. */
import type { IEventDefinition } from '../common/Services.js'

export const PLATFORM_UNAVAILABLE: IEventDefinition = Object.freeze({
  number: 2001,
  name: 'platform-unavailable',
  level: 'warn',
  meaning: 'Three requests in a row had no answer. Logged once until there is one. Nodes go on with what they have; submissions are refused.'
})

export const PLATFORM_AVAILABLE: IEventDefinition = Object.freeze({
  number: 2002,
  name: 'platform-available',
  level: 'info',
  meaning: 'The platform answers again.'
})

export const PLATFORM_ANSWER_LOST: IEventDefinition = Object.freeze({
  number: 2003,
  name: 'platform-answer-lost',
  level: 'warn',
  meaning: 'A write was sent and its answer did not arrive. It may have taken effect; whoever wrote settles it by reading.'
})

export const PLATFORM_EVENTS: readonly IEventDefinition[] = Object.freeze([PLATFORM_UNAVAILABLE, PLATFORM_AVAILABLE, PLATFORM_ANSWER_LOST])
