/** Events of mesh/, numbers 9000 to 9999. */
import type { EventLevel, IEventDefinition } from '../common/Services.js'

function define (number: number, name: string, level: EventLevel, meaning: string): IEventDefinition {
  return Object.freeze({ number, name, level, meaning })
}

export const NODE_STARTED = define(9001, 'node-started', 'info', 'The node knows the newest configuration and the other nodes, and takes requests. The field source tells how it learnt them.')
export const NODE_STARTING = define(9002, 'node-starting', 'info', 'The process has opened its ports and learns the configuration; until then every request gets 503.')
export const NODE_STOPPING = define(9003, 'node-stopping', 'info', 'A planned stop has begun. Readiness says no at once; requests are still served until none is left or the time for the stop ends.')
export const NODE_STOPPED = define(9004, 'node-stopped', 'info', 'The planned stop has ended. The field unfinished counts the requests that were cut.')
export const SETTINGS_RELOADED = define(9005, 'settings-reloaded', 'info', 'The settings file was read again after SIGHUP. Values that belong to the start of a process keep their old value.')
export const SETTINGS_REJECTED = define(9006, 'settings-rejected', 'error', 'The settings file could not be read after SIGHUP; the earlier settings stay in use. Correct the file and send SIGHUP again.')
export const PROCESS_DELAYED = define(9007, 'process-delayed', 'warn', 'The process could not run for the time in the field lateMs. If processorMs is as long, one step of its own took that time, or several in the field turns; if it is short, the processor was busy elsewhere or taken away.')

export const CONFIGURATION_APPLIED = define(9101, 'configuration-applied', 'info', 'A newer configuration is in force; new requests are routed by it. The field source names the node that sent it, or the store; learntAt is when it arrived.')
export const CONFIGURATION_REJECTED = define(9102, 'configuration-rejected', 'error', 'A configuration could not be read or contradicts itself; the one before stays in force.')

export const VIEW_READING_STARTED = define(9201, 'view-reading-started', 'info', 'This node follows the store itself, since it ranks first in its region or no other node gives it a current view.')
export const VIEW_READING_STOPPED = define(9202, 'view-reading-stopped', 'info', 'Another node gives this one a current view; the store is not followed any more.')
export const VIEW_READING_FAILED = define(9203, 'view-reading-failed', 'warn', 'The store could not be read. Logged for the first failure in a row; the node goes on with what it knows.')
export const VIEW_READING_RECOVERED = define(9204, 'view-reading-recovered', 'info', 'The store can be read again.')
export const VIEW_HISTORY_LOST = define(9205, 'view-history-lost', 'warn', 'The store has dropped the history that the node was following; the table is read anew.')
export const VIEW_LINK_OPENED = define(9206, 'view-link-opened', 'info', 'The node named by peer sends its view to this node.')
export const VIEW_LINK_LOST = define(9207, 'view-link-lost', 'info', 'The node named by peer sends its view no more, or is not current itself; the field reason tells which.')
export const VIEW_BODY_REJECTED = define(9208, 'view-body-rejected', 'warn', 'A configuration sent by another node could not be restored; it is asked for anew.')
export const NODE_ROW_IGNORED = define(9209, 'node-row-ignored', 'warn', 'A row of the table of nodes could not be read. It names no endpoint; the other rows hold.')
export const NODE_ROW_CHANGED = define(9210, 'node-row-changed', 'info', 'What this node believes of another node and its endpoint has changed. The field position is the place of the change in the store.')
export const VIEW_BATCH_READ = define(9211, 'view-batch-read', 'info', 'The store gave changes of a table. The fields tell how long the answer took and how many rows it had.')
export const VIEW_CONFIGURATION_SENT = define(9212, 'view-configuration-sent', 'info', 'A newer configuration was sent to the nodes that follow this one. The fields tell to how many, with how many bytes, how long that took and how many bytes wait at the slowest of them.')

export const ENDPOINT_CHANGED = define(9301, 'endpoint-changed', 'info', 'The endpoint beside this node began, drains or has gone, by its own report.')
export const ENDPOINT_REPORT_IGNORED = define(9302, 'endpoint-report-ignored', 'warn', 'A heartbeat or deregistration was malformed, or belongs to an earlier incarnation; the field reason tells which. Nothing changed.')
export const ENDPOINT_UNREACHABLE = define(9303, 'endpoint-unreachable', 'warn', 'No connection to the endpoint beside this node could be opened. Requests are refused as not run for a moment.')
export const ENDPOINT_REACHABLE = define(9304, 'endpoint-reachable', 'info', 'The endpoint beside this node answers again.')
export const REGISTRATION_STORED = define(9305, 'registration-stored', 'info', 'The store holds the present row of this node.')
export const REGISTRATION_FAILED = define(9306, 'registration-failed', 'warn', 'The row of this node could not be written; it is tried again until the store takes it. Logged for the first failure in a row.')

export const CALL_FINISHED = define(9401, 'call-finished', 'info', 'One request of a caller has its final answer. The fields name the route, the configuration, the endpoint of the last attempt, the outcome and the time in milliseconds; leftAfterMs is when the caller left, if it did.')
export const CALL_REPEATED = define(9402, 'call-repeated', 'info', 'An attempt did not bring an answer, and the request is sent to another endpoint. The fields tell why that is allowed.')
export const CALL_SETTLED = define(9403, 'call-settled', 'info', 'An attempt stayed without an answer, and its node was asked what became of it.')
export const CALL_REFUSED_AT_GATE = define(9404, 'call-refused-at-gate', 'info', 'The node beside the endpoint refused an attempt; it has not run and never will. The fields afterMs and turns tell how long after its reading, and how many turns of the event loop.')
export const ANSWER_SPOILT = define(9405, 'answer-spoilt', 'warn', 'What an endpoint sent was no whole answer to the request: wrong id or none, no signature, the status of a refusal without its mark, cut short or not in the protocol. It was dropped with its connection.')
export const CALLER_MALFORMED = define(9406, 'caller-malformed', 'warn', 'A request of a caller broke the protocol or its limits and was refused.')
export const NODE_SUSPECT = define(9407, 'node-suspect', 'warn', 'Another node does not answer; requests go elsewhere until it does.')
export const NODE_TRUSTED = define(9408, 'node-trusted', 'info', 'A node that was suspect answers again.')
export const CALL_NOT_REPEATED = define(9409, 'call-not-repeated', 'info', 'A request that the rules would let go to a further endpoint did not: the field reason tells whether the allowance of repeats was spent or no endpoint was left.')
export const CALL_UNROUTED = define(9410, 'call-unrouted', 'info', 'No route of the configuration in force fits a request, and it got 404. The field viewAgeMs tells how long ago that configuration was confirmed to be the newest.')
export const CALL_ABANDONED = define(9411, 'call-abandoned', 'info', 'The caller of an attempt, or the node that sent it, left after the attempt had its slot at the endpoint. The fields tell when it was sent to the endpoint and when the leaving was seen, both after the reading of the attempt, and how many turns of the event loop lay between reading and seeing.')

export const MESH_EVENTS: readonly IEventDefinition[] = Object.freeze([
  NODE_STARTED, NODE_STARTING, NODE_STOPPING, NODE_STOPPED, SETTINGS_RELOADED, SETTINGS_REJECTED, PROCESS_DELAYED,
  CONFIGURATION_APPLIED, CONFIGURATION_REJECTED,
  VIEW_READING_STARTED, VIEW_READING_STOPPED, VIEW_READING_FAILED, VIEW_READING_RECOVERED, VIEW_HISTORY_LOST,
  VIEW_LINK_OPENED, VIEW_LINK_LOST, VIEW_BODY_REJECTED, NODE_ROW_IGNORED, NODE_ROW_CHANGED,
  VIEW_BATCH_READ, VIEW_CONFIGURATION_SENT,
  ENDPOINT_CHANGED, ENDPOINT_REPORT_IGNORED, ENDPOINT_UNREACHABLE, ENDPOINT_REACHABLE, REGISTRATION_STORED, REGISTRATION_FAILED,
  CALL_FINISHED, CALL_REPEATED, CALL_SETTLED, CALL_REFUSED_AT_GATE, ANSWER_SPOILT, CALLER_MALFORMED, NODE_SUSPECT, NODE_TRUSTED,
  CALL_NOT_REPEATED, CALL_UNROUTED, CALL_ABANDONED
])
