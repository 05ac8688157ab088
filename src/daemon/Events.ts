/** Events of daemon/, numbers 8000 to 8999. */
import type { IEventDefinition } from '../common/Services.js'

export const DAEMON_STARTED: IEventDefinition = Object.freeze({
  number: 8001,
  name: 'daemon-started',
  level: 'info',
  meaning: 'The process has caught up, announced its endpoints and serves. The field source states what the catch-up was confirmed against.'
})

export const DAEMON_STOPPING: IEventDefinition = Object.freeze({
  number: 8002,
  name: 'daemon-stopping',
  level: 'info',
  meaning: 'A planned stop has started: the node announces its departure, accepts no new requests and finishes requests in flight.'
})

export const DAEMON_STOPPED: IEventDefinition = Object.freeze({
  number: 8003,
  name: 'daemon-stopped',
  level: 'info',
  meaning: 'The planned stop has completed; no request in flight was interrupted.'
})

export const DAEMON_FAILED: IEventDefinition = Object.freeze({
  number: 8004,
  name: 'daemon-failed',
  level: 'error',
  meaning: 'The process could not start, or ended because of an unhandled error. The fields step, peer and message state where.'
})

export const OPERATOR_CALL_FAILED: IEventDefinition = Object.freeze({
  number: 8005,
  name: 'operator-call-failed',
  level: 'warn',
  meaning: 'A call of savoryknotctl failed, most often because the platform is unavailable. The client gets the same message.'
})

export const KEYS_RELOADED: IEventDefinition = Object.freeze({
  number: 8006,
  name: 'keys-reloaded',
  level: 'info',
  meaning: 'Certificate, key and authority files were read again. Open streams keep the keys with which they were opened.'
})

export const KEYS_REJECTED: IEventDefinition = Object.freeze({
  number: 8007,
  name: 'keys-rejected',
  level: 'error',
  meaning: 'The certificate, key or authority files could not be read or do not match; the previous ones stay in use. Correct the files and send SIGHUP.'
})

export const OPERATOR_REFUSED: IEventDefinition = Object.freeze({
  number: 8008,
  name: 'operator-refused',
  level: 'warn',
  meaning: 'A call to the operator port was refused because its certificate is not an operator certificate.'
})

export const DAEMON_EVENTS: readonly IEventDefinition[] = Object.freeze([
  DAEMON_STARTED, DAEMON_STOPPING, DAEMON_STOPPED, DAEMON_FAILED, OPERATOR_CALL_FAILED, KEYS_RELOADED, KEYS_REJECTED, OPERATOR_REFUSED
])
