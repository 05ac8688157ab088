/** Events of common/, numbers 1000 to 1999. */
import type { IEventDefinition } from './Services.js'

export const INVARIANT_BREACHED: IEventDefinition = Object.freeze({
  number: 1001,
  name: 'invariant-breached',
  level: 'error',
  meaning: 'An action that would have violated an invariant was refused. This is a bug; report it with the fields of this event.'
})

export const EVENTS_LEFT_OUT: IEventDefinition = Object.freeze({
  number: 1002,
  name: 'events-left-out',
  level: 'warn',
  meaning: 'The log reached its rate limit. The field count is the number of events of this kind dropped since the last one written.'
})

export const COMMON_EVENTS: readonly IEventDefinition[] = Object.freeze([INVARIANT_BREACHED, EVENTS_LEFT_OUT])
