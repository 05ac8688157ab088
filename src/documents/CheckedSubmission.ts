/** A submission whose text was checked by itself. */
import { hashContent } from '../common/Ids.js'
import type { ContentHash } from '../common/Types.js'
import type { IDocumentParser } from './Services.js'
import type { IDocumentFault, IServiceDocument, ISubmission } from './Types.js'

/** What is submitted; a deletion has no document. */
export interface ICheckedSubmission {
  readonly submission: ISubmission
  readonly document: IServiceDocument | undefined
  readonly hash: ContentHash
}

/** Checks the text by itself; answers the faults if there are any. */
export function checkSubmission (submission: ISubmission, parser: IDocumentParser): ICheckedSubmission | readonly IDocumentFault[] {
  const { text } = submission
  if (text === undefined) {
    if (submission.expected === 'new') return [wholeFault('a service that does not exist cannot be deleted')]
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
export function wholeFault (message: string): IDocumentFault {
  return { section: '', key: '', message }
}
