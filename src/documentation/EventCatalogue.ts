/** All events of the program. */
import { COMMON_EVENTS } from '../common/Events.js'
import type { IEventDefinition } from '../common/Services.js'
import { DOCUMENTS_EVENTS } from '../documents/Events.js'
import { DISTRIBUTION_EVENTS } from '../distribution/Events.js'
import { GATE_EVENTS } from '../gate/Events.js'
import { MEMBERSHIP_EVENTS } from '../membership/Events.js'
import { PLATFORM_EVENTS } from '../platform/Events.js'
import { ROUTING_EVENTS } from '../routing/Events.js'
import { DAEMON_EVENTS } from '../daemon/Events.js'
import { MESH_EVENTS } from '../mesh/Events.js'

/** Every event, in the order of its number. */
export const ALL_EVENTS: readonly IEventDefinition[] = [
  ...COMMON_EVENTS, ...PLATFORM_EVENTS, ...DOCUMENTS_EVENTS, ...MEMBERSHIP_EVENTS, ...DISTRIBUTION_EVENTS,
  ...ROUTING_EVENTS, ...GATE_EVENTS, ...DAEMON_EVENTS, ...MESH_EVENTS
].sort((left, right) => left.number - right.number)

/** Generates the page docs/EVENTS.md. */
export function writeEventsPage (events: readonly IEventDefinition[]): string {
  const rows = events.map((event) => `| ${event.number} | \`${event.name}\` | ${event.level} | ${event.meaning} |`)
  return [
    '# Events',
    '',
    'Every line of the log is one of these events. The thousands of a number identify the part of the program. ' +
      'This page is generated from the code by `npm run docs`, and a test checks that it is up to date.',
    '',
    '| number | name | level | meaning |',
    '| --- | --- | --- | --- |',
    ...rows,
    ''
  ].join('\n')
}
