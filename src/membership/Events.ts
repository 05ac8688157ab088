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

export const MEMBERSHIP_EVENTS: readonly IEventDefinition[] = Object.freeze([
  PEER_MESSAGE_INVALID,
  PEER_STREAM_FAILED,
  PEER_SEND_BUFFER_FULL
])
