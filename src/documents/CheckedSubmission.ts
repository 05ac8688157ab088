/** Checks a submission independently of the stored documents. */
import { hashContent, isName } from '../common/Ids.js'
import type { ContentHash } from '../common/Types.js'
import type { IDocumentParser } from './Services.js'
import type { IDocumentFault, IServiceDocument, ISubmission } from './Types.js'

/** A valid submission with its parsed document; a deletion has none. */
export interface ICheckedSubmission {
  readonly submission: ISubmission
  readonly document: IServiceDocument | undefined
  readonly hash: ContentHash
}

/** Maximum length of the author stored with a version, in characters. */
const MAXIMUM_AUTHOR_CHARACTERS = 128
const ID_PATTERN = /^[\x21-\x7e]{1,128}$/

/** Checks the submission independently of the stored documents; returns the faults if there are any. */
export function checkSubmission (submission: ISubmission, parser: IDocumentParser): ICheckedSubmission | readonly IDocumentFault[] {
  const faults = checkFields(submission)
  return faults.length > 0 ? faults : checkText(submission, parser)
}

/** These fields become keys and values of rows, so their lengths and characters are limited to what a row can store. */
function checkFields ({ id, service, expected, author }: ISubmission): IDocumentFault[] {
  const messages: string[] = []
  if (!ID_PATTERN.test(id)) messages.push('submission id is malformed; expected 1 to 128 printable ASCII characters without spaces')
  if (!isName(service)) messages.push('service is malformed; expected up to 63 lower-case letters, digits and inner hyphens')
  if (author.length > MAXIMUM_AUTHOR_CHARACTERS) messages.push(`author is too long; expected at most ${MAXIMUM_AUTHOR_CHARACTERS} characters`)
  const isVersion = expected === 'new' || (Number.isSafeInteger(expected) && expected >= 1)
  if (!isVersion) messages.push('expected version is malformed; expected a whole number from 1, or new')
  return messages.map(submissionFault)
}

function checkText (submission: ISubmission, parser: IDocumentParser): ICheckedSubmission | readonly IDocumentFault[] {
  const { text } = submission
  if (text === undefined) {
    if (submission.expected === 'new') return [submissionFault('a service that does not exist cannot be deleted')]
    return { submission, document: undefined, hash: hashContent('') }
  }
  const result = parser.parse(text)
  if (!result.isValid) return result.faults
  if (result.document.service !== submission.service) {
    const message = `document is of service ${result.document.service}; expected ${submission.service}`
    return [{ section: 'service', key: 'name', message }]
  }
  return { submission, document: result.document, hash: hashContent(text) }
}

/** A fault of the submission as a whole. */
export function submissionFault (message: string): IDocumentFault {
  return { section: '', key: '', message }
}
