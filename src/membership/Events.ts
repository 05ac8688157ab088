/** Events of the membership module, numbers 4000 to 4999. */
import type { IEventDefinition } from '../common/Services.js'

export const PEER_MESSAGE_INVALID: IEventDefinition = Object.freeze({
  number: 4001,
  name: 'peer-message-invalid',
  level: 'warn',
  meaning: 'A peer sent bytes that are not a valid protocol message, or a field that exceeds its limits. The link was closed or the message ignored. If this repeats, check the software version and the identity of that peer.'
})

export const PEER_STREAM_FAILED: IEventDefinition = Object.freeze({
  number: 4002,
  name: 'peer-stream-failed',
  level: 'debug',
  meaning: 'A stream to a peer was closed by an error, for example a connection reset or a message over the size limit. The overlay dials again automatically.'
})

export const PEER_SEND_BUFFER_FULL: IEventDefinition = Object.freeze({
  number: 4003,
  name: 'peer-send-buffer-full',
  level: 'warn',
  meaning: 'A peer reads more slowly than this node sends, and messages to it are dropped until the send buffer has space again. The digest comparison recovers the dropped records.'
})

export const PEER_MESSAGE_FAILED: IEventDefinition = Object.freeze({
  number: 4004,
  name: 'peer-message-failed',
  level: 'error',
  meaning: 'A message of a peer could not be processed, and the link was closed. This is a bug in the program; report it with the fields of this event.'
})

export const MEMBER_JOINED: IEventDefinition = Object.freeze({
  number: 4010,
  name: 'member-joined',
  level: 'debug',
  meaning: 'A node was added to the member view.'
})

export const MEMBER_SUSPECTED: IEventDefinition = Object.freeze({
  number: 4011,
  name: 'member-suspected',
  level: 'info',
  meaning: 'A node of the given failure domain did not respond. Its endpoints are not preferred until it refutes the suspicion; if it does not, it is declared dead.'
})

export const MEMBER_DEAD: IEventDefinition = Object.freeze({
  number: 4012,
  name: 'member-dead',
  level: 'info',
  meaning: 'A node was declared dead and receives no more requests. Replace its VM if this is not automated.'
})

export const MEMBER_LEFT: IEventDefinition = Object.freeze({
  number: 4013,
  name: 'member-left',
  level: 'info',
  meaning: 'A node announced that it leaves the mesh, as it does at a planned stop.'
})

export const MEMBER_REFUTED: IEventDefinition = Object.freeze({
  number: 4014,
  name: 'member-refuted',
  level: 'info',
  meaning: 'A node that was suspect or dead proved that it is running. Frequent refutations indicate overloaded VMs or an unreliable network path.'
})

export const SUSPICION_OF_SELF_REFUTED: IEventDefinition = Object.freeze({
  number: 4015,
  name: 'suspicion-of-self-refuted',
  level: 'warn',
  meaning: 'Other nodes considered this node suspect or dead, and it refuted this. The process was suspended, overloaded or partitioned from the network.'
})

export const MEMBER_VIEW_FULL: IEventDefinition = Object.freeze({
  number: 4016,
  name: 'member-view-full',
  level: 'error',
  meaning: 'The maximum number of members is reached, and a further record was refused. Raise the limit, or look for a peer that reports members that do not exist.'
})

export const DOMAIN_UNREACHABLE: IEventDefinition = Object.freeze({
  number: 4020,
  name: 'domain-unreachable',
  level: 'warn',
  meaning: 'No gateway of this failure domain receives messages from the given failure domain. The endpoints of that domain are kept but not preferred. Check the network between the two.'
})

export const DOMAIN_REACHABLE: IEventDefinition = Object.freeze({
  number: 4021,
  name: 'domain-reachable',
  level: 'info',
  meaning: 'A failure domain that was unreachable is reachable again.'
})

export const NODE_ISOLATED: IEventDefinition = Object.freeze({
  number: 4022,
  name: 'node-isolated',
  level: 'warn',
  meaning: 'This node has no link to any other node. It continues to serve on its own and keeps trying to join. Check its network.'
})

export const NODE_REJOINED: IEventDefinition = Object.freeze({
  number: 4023,
  name: 'node-rejoined',
  level: 'info',
  meaning: 'This node has a link to another node again.'
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
  meaning: 'A link to a peer was closed; the reason states whether it was closed deliberately, the connection was lost or the peer was unresponsive.'
})

export const PROCESS_RESUMED: IEventDefinition = Object.freeze({
  number: 4032,
  name: 'process-resumed',
  level: 'warn',
  meaning: 'This process was suspended or its event loop was blocked; peers are not suspected for messages that were not read in that time. Check for a paused or overloaded VM.'
})

export const JOIN_REFUSED: IEventDefinition = Object.freeze({
  number: 4033,
  name: 'join-refused',
  level: 'info',
  meaning: 'This node refused a link, because a limit on joins per second or on links was reached. The refused node received the addresses of other nodes.'
})

export const JOINED: IEventDefinition = Object.freeze({
  number: 4040,
  name: 'joined',
  level: 'info',
  meaning: 'This node joined its failure domain through the given address.'
})

export const JOIN_ATTEMPT_FAILED: IEventDefinition = Object.freeze({
  number: 4041,
  name: 'join-attempt-failed',
  level: 'info',
  meaning: 'No node of the failure domain could be reached. This node retries with increasing delays. This is normal when a failure domain starts for the first time.'
})

export const DIRECTORY_UNAVAILABLE: IEventDefinition = Object.freeze({
  number: 4042,
  name: 'directory-unavailable',
  level: 'warn',
  meaning: 'The object store did not respond to a directory request. Running nodes are not affected; a starting node contacts the peers of its settings and retries.'
})

export const DIRECTORY_SLOT_TAKEN: IEventDefinition = Object.freeze({
  number: 4043,
  name: 'directory-slot-taken',
  level: 'info',
  meaning: 'No other node was found, and this node registered itself in a directory slot, so that others can find it.'
})

export const DIRECTORY_OBJECT_INVALID: IEventDefinition = Object.freeze({
  number: 4044,
  name: 'directory-object-invalid',
  level: 'warn',
  meaning: 'A directory object could not be parsed and is treated as empty; the next refresh replaces it.'
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
