/** Recognizes identical requests, which have different request IDs and may arrive at different nodes. */
import { createHash } from 'node:crypto'
import type { RequestFingerprint } from '../../common/Types.js'
import type { RequestTarget } from '../Types.js'

/** The parts of a request that identical requests share. */
export interface IIdentifiedRequest {
  readonly method: string
  /** Path with query, unmodified. */
  readonly path: string
  /** Header fields as alternating names and values; the host is read from them. */
  readonly fields: readonly string[]
  readonly body: Buffer | undefined
}

/** Characters of the target and of the complete request in a fingerprint; 6 bits each. */
const TARGET_CHARACTERS = 8
const REQUEST_CHARACTERS = 16
const FINGERPRINT_PATTERN = /^[\w-]{24}$/
const PORT_PATTERN = /:\d*$/
const NO_BODY = Buffer.alloc(0)

/** Identity of one request. Hashes are computed when they are first needed; the body is part of the fingerprint only. */
export class RequestIdentity {
  private _target: RequestTarget | undefined
  private _fingerprint: RequestFingerprint | undefined

  constructor (private readonly _request: IIdentifiedRequest) {}

  /** Hash of method, host and path. */
  public get target (): RequestTarget {
    this._target ??= this._hash().digest('base64url').slice(0, TARGET_CHARACTERS) as RequestTarget
    return this._target
  }

  /** The target, followed by a hash of the complete request. */
  public get fingerprint (): RequestFingerprint {
    this._fingerprint ??= this.target + this._hash(this._request.body).digest('base64url').slice(0, REQUEST_CHARACTERS) as RequestFingerprint
    return this._fingerprint
  }

  private _hash (body: Buffer = NO_BODY): ReturnType<typeof createHash> {
    const { method, path, fields } = this._request
    return createHash('sha256').update(JSON.stringify([method, hostOf(fields), path])).update(body)
  }
}

/** True if the text has the form of a fingerprint. */
export function isFingerprint (text: string): text is RequestFingerprint {
  return FINGERPRINT_PATTERN.test(text)
}

/** Target of a fingerprint. */
export function targetOf (fingerprint: RequestFingerprint): RequestTarget {
  return fingerprint.slice(0, TARGET_CHARACTERS) as RequestTarget
}

/** Host in lower case and without port, as routes are matched. */
function hostOf (fields: readonly string[]): string {
  const index = fields.findIndex((name, position) => position % 2 === 0 && name.toLowerCase() === 'host')
  return index < 0 ? '' : (fields[index + 1] ?? '').toLowerCase().replace(PORT_PATTERN, '')
}
