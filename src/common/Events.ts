/** Events of common/, numbers 1000 to 1999. */
import type { IEventDefinition } from './Services.js'

export const INVARIANT_BREACHED: IEventDefinition = Object.freeze({
  number: 1001,
  name: 'invariant-breached',
  level: 'error',
  meaning: 'An action that would have broken an invariant was refused. Report it with the fields of this event; it is a fault of the program.'
})

export const EVENTS_LEFT_OUT: IEventDefinition = Object.freeze({
  number: 1002,
  name: 'events-left-out',
  level: 'warn',
  meaning: 'The log was at its bound. The field count tells how many events of the kind were left out since the last one written.'
})

export const COMMON_EVENTS: readonly IEventDefinition[] = Object.freeze([INVARIANT_BREACHED, EVENTS_LEFT_OUT])
