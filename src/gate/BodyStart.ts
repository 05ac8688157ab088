/** Reads the start of a request body for the fingerprint of the request, and small bodies completely. */
import { createHash } from 'node:crypto'
import type { Readable } from 'node:stream'
import { ByteCollector } from '../common/ByteCollector.js'
import type { IClockService } from '../common/Services.js'
import type { Milliseconds, RequestFingerprint, Timestamp } from '../common/Types.js'
import type { ICall } from './Types.js'

/** Number of leading body bytes that are part of the fingerprint. */
export const FINGERPRINT_BODY_BYTES = 65_536

/** Hash of service, route, method, target and the start of the body. Identifies equal requests across nodes. Ignores further bytes. */
export function fingerprintOf (call: ICall, bodyStart: Uint8Array): RequestFingerprint {
  const hash = createHash('sha256')
  hash.update(JSON.stringify([call.service, call.route, call.method, call.path]))
  hash.update(bodyStart.subarray(0, FINGERPRINT_BODY_BYTES))
  return hash.digest('base64url') as RequestFingerprint
}

/** Start of a body. */
export interface IBodyStart {
  readonly content: Buffer
  /** True if `content` is the complete body. */
  readonly isWhole: boolean
}

/**
 * Reads a body until it ends or exceeds `limit` bytes. The content of a longer body is pushed back, so that the stream still
 * provides all of it. Rejects if the stream fails.
 */
export function readBodyStart (body: Readable, limit: number): Promise<IBodyStart> {
  return new Promise((resolve, reject) => {
    const collector = new ByteCollector()
    const finish = (isWhole: boolean): void => {
      body.off('readable', onReadable)
      body.off('end', onEnd)
      body.off('error', onError)
      body.off('close', onClose)
      const content = collector.content()
      if (!isWhole) body.unshift(content)
      resolve({ content, isWhole })
    }
    const onReadable = (): void => {
      let chunk = body.read() as Buffer | null
      while (chunk !== null) {
        collector.append(chunk)
        if (collector.byteLength > limit) {
          finish(false)
          return
        }
        chunk = body.read() as Buffer | null
      }
    }
    const onEnd = (): void => { finish(true) }
    const onError = (error: Error): void => { reject(error) }
    const onClose = (): void => { reject(new Error('request body closed before its end')) }
    body.on('readable', onReadable)
    body.once('end', onEnd)
    body.once('error', onError)
    body.once('close', onClose)
  })
}

/** Like `readBodyStart`, but undefined if the stream fails or the deadline expires before the read is finished. */
export function readBodyStartByDeadline (
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
