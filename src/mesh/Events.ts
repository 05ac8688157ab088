/** Events of mesh/, numbers 9000 to 9999. */
import type { EventLevel, IEventDefinition } from '../common/Services.js'

function define (number: number, name: string, level: EventLevel, meaning: string): IEventDefinition {
  return Object.freeze({ number, name, level, meaning })
}

export const NODE_STARTED = define(9001, 'node-started', 'info', 'The node has the newest configuration and the node table, and accepts requests. The field source names where it received them from.')
export const NODE_STARTING = define(9002, 'node-starting', 'info', 'The process has opened its ports and is loading the configuration; until the configuration is known, every request gets 503. The field service is the service of the VM according to the settings.')
export const NODE_STOPPING = define(9003, 'node-stopping', 'info', 'A planned stop has started. The readiness check fails at once; requests are still served until none is left or the time limit of the stop expires.')
export const NODE_STOPPED = define(9004, 'node-stopped', 'info', 'The planned stop has finished. The field unfinished counts the requests that were aborted.')
export const SETTINGS_RELOADED = define(9005, 'settings-reloaded', 'info', 'The settings file was read again, after SIGHUP or because a report contradicted it. Settings that are only read at process start keep their old value. The field service is the service of the VM according to the settings.')
export const SETTINGS_REJECTED = define(9006, 'settings-rejected', 'error', 'The settings file could not be read after SIGHUP, or when a report contradicted the settings; the previous settings stay in effect. Correct the file and send SIGHUP again.')
export const PROCESS_DELAYED = define(9007, 'process-delayed', 'warn', 'The event loop was blocked for the time in the field lateMs. If processorMs is about as long, the process itself used the CPU for that time, over the number of event loop iterations in the field turns; if processorMs is short, the CPU was busy with other processes or the process was suspended.')

export const CONFIGURATION_APPLIED = define(9101, 'configuration-applied', 'info', 'A newer configuration is in force and is used to route new requests. The field source names the node that sent it, or the store; learntAt is when it was received.')
export const CONFIGURATION_REJECTED = define(9102, 'configuration-rejected', 'error', 'A configuration could not be parsed or is inconsistent; the previous configuration stays in force.')

export const VIEW_READING_STARTED = define(9201, 'view-reading-started', 'info', 'This node reads the store itself because it ranks first in its region or because no other node sends it a current view.')
export const VIEW_READING_STOPPED = define(9202, 'view-reading-stopped', 'info', 'Another node sends this node a current view; this node no longer reads the store.')
export const VIEW_READING_FAILED = define(9203, 'view-reading-failed', 'warn', 'The store could not be read. Logged only for the first of consecutive failures; the node continues to serve with the view it has.')
export const VIEW_READING_RECOVERED = define(9204, 'view-reading-recovered', 'info', 'Reading the store succeeds again.')
export const VIEW_HISTORY_LOST = define(9205, 'view-history-lost', 'warn', 'The store has discarded the change history that the node was reading; the table is read again completely.')
export const VIEW_LINK_OPENED = define(9206, 'view-link-opened', 'info', 'The node named by peer sends its view to this node.')
export const VIEW_LINK_LOST = define(9207, 'view-link-lost', 'info', 'The node named by peer no longer sends its view, or its own view is not current; the field reason states which.')
export const VIEW_BODY_REJECTED = define(9208, 'view-body-rejected', 'warn', 'A configuration sent by another node could not be reconstructed; it is requested again.')
export const NODE_ROW_IGNORED = define(9209, 'node-row-ignored', 'warn', 'A row of the node table could not be parsed, names a service that the configuration does not contain, or is the own row and describes an endpoint that is not the one of this VM. No endpoint is taken from this row; the other rows are used.')
export const NODE_ROW_CHANGED = define(9210, 'node-row-changed', 'info', 'The known state of another node and its endpoint has changed. The field position is the position of the change in the store.')
export const VIEW_BATCH_READ = define(9211, 'view-batch-read', 'info', 'The store returned changes of a table. The fields give the response time and the number of rows.')
export const VIEW_CONFIGURATION_SENT = define(9212, 'view-configuration-sent', 'info', 'A newer configuration was sent to the nodes that follow this node. The fields give the number of nodes, the number of bytes, the duration, and the number of bytes still unsent to the slowest of these nodes.')
export const NODE_ADDRESS_CLAIMED = define(9213, 'node-address-claimed', 'warn', 'The row named by peer contains the address of this node. This node writes its own row again, since the latest row owns an address.')
export const CRASH_REPORT_IGNORED = define(9214, 'crash-report-ignored', 'warn', 'The row of another node reports crashes that are malformed, or of a kind that this build does not know. These entries are ignored; the rest of the row is used.')

export const ENDPOINT_CHANGED = define(9301, 'endpoint-changed', 'info', 'What the node believes of the local endpoint has changed: it has started, drains, was deregistered, or gets no requests for now. The field cause tells by what: reported, deregistered, contradicted (by another incarnation), adopted (from the stored row), silent (no report in time), or settings.')
export const ENDPOINT_REPORT_IGNORED = define(9302, 'endpoint-report-ignored', 'warn', 'A heartbeat or deregistration was malformed, does not describe the endpoint of this VM, or belongs to an earlier incarnation; the field reason states which, with the service or address that differs. It was ignored; only one of an earlier incarnation is acknowledged.')
export const ENDPOINT_UNREACHABLE = define(9303, 'endpoint-unreachable', 'warn', 'No connection to the local endpoint could be opened. For a short time, requests are refused as not run.')
export const ENDPOINT_REACHABLE = define(9304, 'endpoint-reachable', 'info', 'The local endpoint responds again.')
export const ENDPOINT_CONNECTIONS_LOST = define(9307, 'endpoint-connections-lost', 'warn', 'The local endpoint closed all its connections without a response while it executed requests. The field kind is connections if it accepts new ones, process if it does not, and process-alone if it does not and was executing one request only. The field fingerprints identifies the requests: identical requests have the same fingerprint on all nodes.')
export const REGISTRATION_STORED = define(9305, 'registration-stored', 'info', 'The store contains the current row of this node.')
export const REGISTRATION_FAILED = define(9306, 'registration-failed', 'warn', 'The row of this node could not be written; the write is retried until it succeeds. Logged only for the first of consecutive failures.')

export const CALL_FINISHED = define(9401, 'call-finished', 'info', 'A request of a caller has its final response. The fields give the route, the configuration, the endpoint of the last attempt, the outcome and the duration in milliseconds; callerService is the service that the endpoint was told as the caller, callerServiceFrom where this node has it from: its settings, a report of its endpoint, or its stored row; leftAfterMs is the time until the caller disconnected, if it did.')
export const CALL_RETRIED = define(9402, 'call-repeated', 'info', 'An attempt failed or takes longer than expected, and the request is sent to another endpoint. The fields give the endpoint and the outcome of the attempt.')
export const CALL_SETTLED = define(9403, 'call-settled', 'info', 'An attempt got no response in the expected time or its connection broke, and its node was queried for the state of the attempt.')
export const CALL_REFUSED_AT_GATE = define(9404, 'call-refused-at-gate', 'info', 'The node of the endpoint refused an attempt; the attempt did not run and never will. The fields afterMs and turns give the time and the number of event loop iterations since the attempt was read.')
export const RESPONSE_MALFORMED = define(9405, 'answer-spoilt', 'warn', 'An endpoint sent a malformed or mismatched response: a wrong or missing request ID, no signature, a refusal status without the not-executed field, a truncated response or a protocol violation. The response was discarded and its connection closed.')
export const CALLER_MALFORMED = define(9406, 'caller-malformed', 'warn', 'A request of a caller violated the protocol or exceeded a limit and was refused.')
export const NODE_SUSPECT = define(9407, 'node-suspect', 'warn', 'Another node does not respond; requests are sent to other nodes until it responds.')
export const NODE_TRUSTED = define(9408, 'node-trusted', 'info', 'A suspect node responds again.')
export const CALL_NOT_RETRIED = define(9409, 'call-not-repeated', 'info', 'A request that was eligible for a retry was not retried: the field reason states whether the retry budget share of this node was exhausted or no other endpoint was available.')
export const CALL_UNROUTED = define(9410, 'call-unrouted', 'info', 'No route of the configuration in force matches a request, and the request got 404. The field viewAgeMs is the time since the configuration was last confirmed to be the newest.')
export const CALL_ABANDONED = define(9411, 'call-abandoned', 'info', 'The caller of an attempt, or the node that sent it, disconnected after the attempt had acquired its slot at the endpoint. The fields give the times from reading the attempt to sending it to the endpoint and to detecting the disconnect, and the number of event loop iterations between reading and detection.')

export const RESPONSE_DROPPED = define(9416, 'response-dropped', 'warn', 'A complete response was dropped and its connection closed: its reader, a caller or another node, did not read it, and the responses in memory exceed their limit. The request has run.')
export const CALL_SUSPECTED = define(9412, 'call-suspected', 'info', 'An endpoint closed all its connections while it executed a request with this fingerprint; identical requests are still served. The field points is the sum of the weights of its crashes, source the node that reported it.')
export const CALL_QUARANTINED = define(9413, 'call-quarantined', 'warn', 'Requests with this fingerprint have ended several endpoints and none has been executed to its end. Identical requests are refused as not run, except for single trials; the field trialAfterMs is the time until the next one.')
export const CALL_TRIED = define(9414, 'call-tried', 'info', 'A quarantined request is sent to the local endpoint as a trial. If the endpoint executes it to its end, call-cleared follows.')
export const CALL_CLEARED = define(9415, 'call-cleared', 'info', 'An endpoint has executed a request with this fingerprint to its end, so its earlier crashes had another cause. Identical requests are served again.')

export const REQUEST_BODY_REFUSED = define(9417, 'request-body-refused', 'warn', 'The body of a request did not fit into the memory for request bodies; the request was refused as not run. The field decidedBy states whether its stated length or the bytes received so far decided it; bytes is that number, heldBytes the memory of all other bodies, limitBytes the limit of all bodies.')

export const MESH_EVENTS: readonly IEventDefinition[] = Object.freeze([
  NODE_STARTED, NODE_STARTING, NODE_STOPPING, NODE_STOPPED, SETTINGS_RELOADED, SETTINGS_REJECTED, PROCESS_DELAYED,
  CONFIGURATION_APPLIED, CONFIGURATION_REJECTED,
  VIEW_READING_STARTED, VIEW_READING_STOPPED, VIEW_READING_FAILED, VIEW_READING_RECOVERED, VIEW_HISTORY_LOST,
  VIEW_LINK_OPENED, VIEW_LINK_LOST, VIEW_BODY_REJECTED, NODE_ROW_IGNORED, NODE_ROW_CHANGED,
  VIEW_BATCH_READ, VIEW_CONFIGURATION_SENT, NODE_ADDRESS_CLAIMED, CRASH_REPORT_IGNORED,
  ENDPOINT_CHANGED, ENDPOINT_REPORT_IGNORED, ENDPOINT_UNREACHABLE, ENDPOINT_REACHABLE, ENDPOINT_CONNECTIONS_LOST,
  REGISTRATION_STORED, REGISTRATION_FAILED,
  CALL_FINISHED, CALL_RETRIED, CALL_SETTLED, CALL_REFUSED_AT_GATE, RESPONSE_MALFORMED, CALLER_MALFORMED, NODE_SUSPECT, NODE_TRUSTED,
  CALL_NOT_RETRIED, CALL_UNROUTED, CALL_ABANDONED, CALL_SUSPECTED, CALL_QUARANTINED, CALL_TRIED, CALL_CLEARED, RESPONSE_DROPPED,
  REQUEST_BODY_REFUSED
])
