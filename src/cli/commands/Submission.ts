/** Identity of a submission. */
import { userInfo } from 'node:os'
import { hashContent } from '../../common/Ids.js'
import type { ContentHash, SubmissionId } from '../../common/Types.js'

const SUBMISSION_ID_LENGTH = 32

/** The same content with the same expected version has the same id, so that a retry is recognized. */
export function submissionIdOf (service: string, expectedVersion: number, hash: ContentHash | 'deletion'): SubmissionId {
  return hashContent(`${service}\n${expectedVersion}\n${hash}`).slice(0, SUBMISSION_ID_LENGTH) as unknown as SubmissionId
}

/** The given name, or the user name of the account that runs the command. */
export function authorName (given: unknown): string {
  return given === undefined ? userInfo().username : String(given)
}
