/** Events of documents/, numbers 3000 to 3999. */
import type { IEventDefinition } from '../common/Services.js'

export const DOCUMENT_ACCEPTED: IEventDefinition = Object.freeze({
  number: 3001,
  name: 'document-accepted',
  level: 'info',
  meaning: 'A version of a document was accepted. With isRepeat the same change had already been accepted before.'
})

export const DOCUMENT_REFUSED: IEventDefinition = Object.freeze({
  number: 3002,
  name: 'document-refused',
  level: 'info',
  meaning: 'A submission was refused; kind states whether it was invalid, in conflict with the current version, or not from the owning team.'
})

export const SUBMISSION_RETRIED: IEventDefinition = Object.freeze({
  number: 3003,
  name: 'submission-retried',
  level: 'info',
  meaning: 'The transaction of a submission is retried after a backoff, because a concurrent change committed first or a response was lost. Harmless.'
})

export const SUBMISSION_UNDECIDED: IEventDefinition = Object.freeze({
  number: 3004,
  name: 'submission-undecided',
  level: 'warn',
  meaning: 'The response of the store to a write was lost. The submission is retried; its row in the store prevents a second acceptance.'
})

export const CHECKPOINT_WRITTEN: IEventDefinition = Object.freeze({
  number: 3005,
  name: 'checkpoint-written',
  level: 'info',
  meaning: 'The accepted set up to a sequence was written as one object, and older changes are trimmed from the change log.'
})

export const CHECKPOINT_FAILED: IEventDefinition = Object.freeze({
  number: 3006,
  name: 'checkpoint-failed',
  level: 'warn',
  meaning: 'A checkpoint could not be written or the change log could not be trimmed. Nothing is lost; a later checkpoint covers the same changes.'
})

export const CHECKPOINT_UNREADABLE: IEventDefinition = Object.freeze({
  number: 3007,
  name: 'checkpoint-unreadable',
  level: 'warn',
  meaning: 'The checkpoint is damaged or has a newer format. The accepted set is read from the rows of the services instead.'
})

export const DOCUMENTS_EVENTS: readonly IEventDefinition[] = Object.freeze([
  DOCUMENT_ACCEPTED, DOCUMENT_REFUSED, SUBMISSION_RETRIED, SUBMISSION_UNDECIDED,
  CHECKPOINT_WRITTEN, CHECKPOINT_FAILED, CHECKPOINT_UNREADABLE
])
