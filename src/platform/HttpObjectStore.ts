/** Object store of a platform that speaks HTTP with entity tags, such as the stand-in. */
import { OutcomeUnknownError, PlatformUnavailableError } from './PlatformErrors.js'
import type { IPlatformAnswer, PlatformHttpClient } from './PlatformHttpClient.js'
import type { IObjectStore } from './Services.js'
import type { IStoredObject, ObjectExpectation, ObjectKey, ObjectRevision, ObjectWriteOutcome } from './Types.js'

const NOT_FOUND = 404
const PRECONDITION_FAILED = 412

/** A revision is the entity tag of the object. */
export class HttpObjectStore implements IObjectStore {
  constructor (private readonly _client: PlatformHttpClient) {}

  public async get (key: ObjectKey): Promise<IStoredObject | undefined> {
    const answer = await this._client.request({ step: 'platform.get', method: 'GET', path: pathOf(key), isWrite: false })
    if (answer.status === NOT_FOUND) return undefined
    const revision = readRevision(answer)
    if (revision === undefined) throw new PlatformUnavailableError('object came without its entity tag', { step: 'platform.get' })
    return { revision, content: answer.body }
  }

  public async put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome> {
    const headers = { 'content-type': 'application/octet-stream', ...conditionOf(expected) }
    const answer = await this._client.request({ step: 'platform.put', method: 'PUT', path: pathOf(key), headers, body: content, isWrite: true })
    if (answer.status === PRECONDITION_FAILED) return { isWritten: false }
    const revision = readRevision(answer)
    if (revision === undefined) throw new OutcomeUnknownError('write was answered without an entity tag', { step: 'platform.put' })
    return { isWritten: true, revision }
  }

  public async delete (key: ObjectKey): Promise<void> {
    await this._client.request({ step: 'platform.delete', method: 'DELETE', path: pathOf(key), isWrite: true })
  }
}

function pathOf (key: ObjectKey): string {
  return `/objects/${encodeURIComponent(key)}`
}

function conditionOf (expected: ObjectExpectation): Readonly<Record<string, string>> {
  if (expected === 'any') return {}
  return expected === 'absent' ? { 'if-none-match': '*' } : { 'if-match': `"${expected}"` }
}

function readRevision (answer: IPlatformAnswer): ObjectRevision | undefined {
  const { etag } = answer.headers
  return typeof etag === 'string' ? etag.replaceAll('"', '') as ObjectRevision : undefined
}
