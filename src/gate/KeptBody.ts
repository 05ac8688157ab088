/** Keeps the beginning of a request body for its fingerprint, and reads small bodies whole. */
import { createHash } from 'node:crypto'
import type { Readable } from 'node:stream'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds, RequestFingerprint, Timestamp } from '../common/Types.js'
import type { ICall } from './Types.js'

/** Bytes of a body that count for the fingerprint. */
export const FINGERPRINT_BODY_BYTES = 65_536

/** Hash over service, route, method, target and the beginning of the body. */
export function fingerprintOf (call: ICall, chunks: readonly Uint8Array[]): RequestFingerprint {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([call.service, call.route, call.method, call.path]))
  let left = FINGERPRINT_BODY_BYTES
  for (const chunk of chunks) {
    hash.update(chunk.subarray(0, left))
    left -= Math.min(left, chunk.byteLength)
  }
  return hash.digest('base64url') as RequestFingerprint
}

/** What was read of a body. */
export interface IBodyStart {
  readonly content: Buffer
  /** True if `content` is the whole body. */
  readonly isWhole: boolean
}

/**
 * Reads a body until it ends or has more than `limit` bytes. What was read of a longer body is put
 * back, so that the stream still gives all of it. Rejects if the stream fails.
 */
export function readBodyStart (body: Readable, limit: number): Promise<IBodyStart> {
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = []
    let size = 0
    const finish = (isWhole: boolean): void => {
      body.off('readable', onReadable)
      body.off('end', onEnd)
      body.off('error', onError)
      body.off('close', onClose)
      const content = Buffer.concat(chunks)
      if (!isWhole) body.unshift(content)
      resolve({ content, isWhole })
    }
    const onReadable = (): void => {
      let chunk = body.read() as Buffer | null
      while (chunk !== null) {
        chunks.push(chunk)
        size += chunk.byteLength
        if (size > limit) {
          finish(false)
          return
        }
        chunk = body.read() as Buffer | null
      }
    }
    const onEnd = (): void => { finish(true) }
    const onError = (error: Error): void => { reject(error) }
    const onClose = (): void => { reject(new Error('body closed before its end')) }
    body.on('readable', onReadable)
    body.once('end', onEnd)
    body.once('error', onError)
    body.once('close', onClose)
  })
}

/** As `readBodyStart`; undefined if the stream fails or gives no more before the deadline. */
export function readBodyInTime (
  body: Readable, limit: number, deadlineAt: Timestamp, clock: IClockService
): Promise<IBodyStart | undefined> {
  return new Promise((resolve) => {
    const timer = clock.after(deadlineAt - clock.now() as Milliseconds, () => { resolve(undefined) })
    const finish = (start: IBodyStart | undefined): void => {
      timer.dispose()
      resolve(start)
    }
    readBodyStart(body, limit).then(finish, () => { finish(undefined) })
  })
}
