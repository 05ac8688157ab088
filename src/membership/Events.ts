/** Events of membership/, numbers 4000 to 4999. */
import type { IEventDefinition } from '../common/Services.js'

export const PEER_MESSAGE_INVALID: IEventDefinition = Object.freeze({
  number: 4001,
  name: 'peer-message-invalid',
  level: 'warn',
  meaning: 'A peer sent bytes that are no message of the protocol, or a field outside its limits. The link was closed or the message ignored. Look at the software and the identity of that peer if it repeats.'
})

export const PEER_STREAM_FAILED: IEventDefinition = Object.freeze({
  number: 4002,
  name: 'peer-stream-failed',
  level: 'debug',
  meaning: 'A stream to a peer ended with an error, for example a reset connection or a message over the size limit. The overlay dials again by itself.'
})

export const PEER_SEND_BUFFER_FULL: IEventDefinition = Object.freeze({
  number: 4003,
  name: 'peer-send-buffer-full',
  level: 'warn',
  meaning: 'A peer reads more slowly than this node sends, and messages to it are dropped until its buffer drains. The digest comparison repairs what was lost.'
})

export const PEER_MESSAGE_FAILED: IEventDefinition = Object.freeze({
  number: 4004,
  name: 'peer-message-failed',
  level: 'error',
  meaning: 'A message of a peer could not be handled, and the link was closed. Report it with the fields of this event; it is a fault of the program.'
})

export const MEMBER_JOINED: IEventDefinition = Object.freeze({
  number: 4010,
  name: 'member-joined',
  level: 'debug',
  meaning: 'A node appeared in the member view.'
})

export const MEMBER_SUSPECTED: IEventDefinition = Object.freeze({
  number: 4011,
  name: 'member-suspected',
  level: 'info',
  meaning: 'A node of the failure domain named did not answer. Its endpoints are no first choice until it refutes; it is declared dead if it does not.'
})

export const MEMBER_DEAD: IEventDefinition = Object.freeze({
  number: 4012,
  name: 'member-dead',
  level: 'info',
  meaning: 'A node is gone and gets no more calls. Replace its VM if nothing else does.'
})

export const MEMBER_LEFT: IEventDefinition = Object.freeze({
  number: 4013,
  name: 'member-left',
  level: 'info',
  meaning: 'A node stopped in good order.'
})

export const MEMBER_REFUTED: IEventDefinition = Object.freeze({
  number: 4014,
  name: 'member-refuted',
  level: 'info',
  meaning: 'A node that was suspect or dead showed that it runs. Frequent refutations point at overloaded VMs or a bad network path.'
})

export const SUSPICION_OF_SELF_REFUTED: IEventDefinition = Object.freeze({
  number: 4015,
  name: 'suspicion-of-self-refuted',
  level: 'warn',
  meaning: 'Others took this node for suspect or dead, and it refuted. The process was paused, overloaded or cut off.'
})

export const MEMBER_VIEW_FULL: IEventDefinition = Object.freeze({
  number: 4016,
  name: 'member-view-full',
  level: 'error',
  meaning: 'The limit of members is reached and a further record was refused. Raise the limit, or look for a peer that invents members.'
})

export const DOMAIN_UNREACHABLE: IEventDefinition = Object.freeze({
  number: 4020,
  name: 'domain-unreachable',
  level: 'warn',
  meaning: 'No gateway of this failure domain hears the failure domain named. Its endpoints are kept but are no first choice. Look at the network between the two.'
})

export const DOMAIN_REACHABLE: IEventDefinition = Object.freeze({
  number: 4021,
  name: 'domain-reachable',
  level: 'info',
  meaning: 'A failure domain that was unreachable is heard again.'
})

export const NODE_ISOLATED: IEventDefinition = Object.freeze({
  number: 4022,
  name: 'node-isolated',
  level: 'warn',
  meaning: 'This node has no link to any other. It serves by itself and keeps trying to join. Look at its network.'
})

export const NODE_REJOINED: IEventDefinition = Object.freeze({
  number: 4023,
  name: 'node-rejoined',
  level: 'info',
  meaning: 'This node has a link again.'
})

export const LINK_OPENED: IEventDefinition = Object.freeze({
  number: 4030,
  name: 'link-opened',
  level: 'debug',
  meaning: 'A link to a peer was opened.'
})

export const LINK_CLOSED: IEventDefinition = Object.freeze({
  number: 4031,
  name: 'link-closed',
  level: 'debug',
  meaning: 'A link to a peer ended; the reason tells whether it was closed on purpose, reset or silent.'
})

export const PROCESS_RESUMED: IEventDefinition = Object.freeze({
  number: 4032,
  name: 'process-resumed',
  level: 'warn',
  meaning: 'This process did not run for a time, so it judges no peer by the silence of that time. Look for a paused VM or an overloaded one.'
})

export const JOIN_REFUSED: IEventDefinition = Object.freeze({
  number: 4033,
  name: 'join-refused',
  level: 'info',
  meaning: 'This node refused a link, because it admits only so many joins a second or has as many links as it may have. The other was told whom else to ask.'
})

export const JOINED: IEventDefinition = Object.freeze({
  number: 4040,
  name: 'joined',
  level: 'info',
  meaning: 'This node joined its failure domain through the address named.'
})

export const JOIN_ATTEMPT_FAILED: IEventDefinition = Object.freeze({
  number: 4041,
  name: 'join-attempt-failed',
  level: 'info',
  meaning: 'Nobody of the failure domain could be reached. The node tries again with growing waits. At a first start of a failure domain this is normal.'
})

export const DIRECTORY_UNAVAILABLE: IEventDefinition = Object.freeze({
  number: 4042,
  name: 'directory-unavailable',
  level: 'warn',
  meaning: 'The object store did not answer for the directory. Nodes that run are not concerned; a starting node uses the peers of its settings and tries again.'
})

export const DIRECTORY_SLOT_TAKEN: IEventDefinition = Object.freeze({
  number: 4043,
  name: 'directory-slot-taken',
  level: 'info',
  meaning: 'Nobody was found, and this node entered itself in a directory slot, where others will find it.'
})

export const DIRECTORY_OBJECT_INVALID: IEventDefinition = Object.freeze({
  number: 4044,
  name: 'directory-object-invalid',
  level: 'warn',
  meaning: 'An object of the directory could not be read and counts as empty; the next refresh replaces it.'
})

export const MEMBERSHIP_EVENTS: readonly IEventDefinition[] = Object.freeze([
  PEER_MESSAGE_INVALID,
  PEER_STREAM_FAILED,
  PEER_SEND_BUFFER_FULL,
  PEER_MESSAGE_FAILED,
  MEMBER_JOINED,
  MEMBER_SUSPECTED,
  MEMBER_DEAD,
  MEMBER_LEFT,
  MEMBER_REFUTED,
  SUSPICION_OF_SELF_REFUTED,
  MEMBER_VIEW_FULL,
  DOMAIN_UNREACHABLE,
  DOMAIN_REACHABLE,
  NODE_ISOLATED,
  NODE_REJOINED,
  LINK_OPENED,
  LINK_CLOSED,
  PROCESS_RESUMED,
  JOIN_REFUSED,
  JOINED,
  JOIN_ATTEMPT_FAILED,
  DIRECTORY_UNAVAILABLE,
  DIRECTORY_SLOT_TAKEN,
  DIRECTORY_OBJECT_INVALID
])
