/** Client of an object store with HTTP and entity tags, such as the stand-in for the platform. */
import { OutcomeUnknownError, PlatformUnavailableError } from './PlatformErrors.js'
import type { IPlatformResponse, PlatformHttpClient } from './PlatformHttpClient.js'
import type { IObjectStore } from './Services.js'
import type { IStoredObject, ObjectExpectation, ObjectKey, ObjectRevision, ObjectWriteOutcome } from './Types.js'

const NOT_FOUND = 404
const PRECONDITION_FAILED = 412

/** Uses the entity tag of an object as its revision. */
export class HttpObjectStore implements IObjectStore {
  constructor (private readonly _client: PlatformHttpClient) {}

  public async get (key: ObjectKey): Promise<IStoredObject | undefined> {
    const response = await this._client.request({ step: 'platform.get', method: 'GET', path: pathOf(key), isWrite: false })
    if (response.status === NOT_FOUND) return undefined
    const revision = readRevision(response)
    if (revision === undefined) throw new PlatformUnavailableError('response with an object has no entity tag', { step: 'platform.get' })
    return { revision, content: response.body }
  }

  public async put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome> {
    const headers = { 'content-type': 'application/octet-stream', ...conditionHeadersOf(expected) }
    const response = await this._client.request({ step: 'platform.put', method: 'PUT', path: pathOf(key), headers, body: content, isWrite: true })
    if (response.status === PRECONDITION_FAILED) return { isWritten: false }
    const revision = readRevision(response)
    if (revision === undefined) throw new OutcomeUnknownError('response to a write has no entity tag', { step: 'platform.put' })
    return { isWritten: true, revision }
  }

  public async delete (key: ObjectKey): Promise<void> {
    await this._client.request({ step: 'platform.delete', method: 'DELETE', path: pathOf(key), isWrite: true })
  }
}

function pathOf (key: ObjectKey): string {
  return `/objects/${encodeURIComponent(key)}`
}

function conditionHeadersOf (expected: ObjectExpectation): Readonly<Record<string, string>> {
  if (expected === 'any') return {}
  return expected === 'absent' ? { 'if-none-match': '*' } : { 'if-match': `"${expected}"` }
}

function readRevision (response: IPlatformResponse): ObjectRevision | undefined {
  const { etag } = response.headers
  return typeof etag === 'string' ? etag.replaceAll('"', '') as ObjectRevision : undefined
}
