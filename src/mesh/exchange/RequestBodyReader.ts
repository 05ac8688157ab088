/** Reads complete request bodies within the memory budget of the process. */
import type { Readable } from 'node:stream'
import { ByteCollector } from '../../common/ByteCollector.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { HttpInbound } from '../../gate/HttpInbound.js'
import { REQUEST_BODY_REFUSED } from '../Events.js'
import type { BodyReservation, RequestBodyBudget } from './RequestBodyBudget.js'

/** Dependencies of `RequestBodyReader`. */
export interface IRequestBodyReaderOptions {
  readonly budget: RequestBodyBudget
  readonly clock: IClockService
  readonly log: ILogService
  /** Step in the log events. */
  readonly step: string
}

/** Limits of one body. */
export interface IBodyLimits {
  /** Maximum size in bytes. */
  readonly maximumBytes: number
  /** Time by which the body must be complete. */
  readonly deadlineAt: Timestamp
}

/** Result of reading a body. */
export type BodyReadResult =
  /** `release` gives the memory back and must be called once the body is no longer used. */
  | { readonly kind: 'whole', readonly content: Buffer | undefined, readonly release: () => void }
  | { readonly kind: 'too-large' }
  /** The bodies in memory leave no room for this one. */
  | { readonly kind: 'no-memory' }
  /** The sender disconnected, or the body was not complete in time. */
  | { readonly kind: 'incomplete' }

const NO_BODY: BodyReadResult = Object.freeze({ kind: 'whole', content: undefined, release: () => undefined })

/** Decides by the stated length before anything is read; a body without one is decided on as it grows. */
export class RequestBodyReader {
  constructor (private readonly _options: IRequestBodyReaderOptions) {}

  public async read ({ body, bodyBytes }: HttpInbound, limits: IBodyLimits, requestId: string | undefined): Promise<BodyReadResult> {
    if (body === undefined) return NO_BODY
    if ((bodyBytes ?? 0) > limits.maximumBytes) return { kind: 'too-large' }
    const reservation = this._options.budget.reserve()
    if (!reservation.tryGrow(bodyBytes ?? 0)) return this._refuse(bodyBytes ?? 0, 'stated length', requestId)
    const result = await this._collect(body, bodyBytes, limits, reservation)
    if (Buffer.isBuffer(result)) return { kind: 'whole', content: result, release: () => reservation.release() }
    const receivedBytes = reservation.bytes
    reservation.release()
    return result === 'no-memory' ? this._refuse(receivedBytes, 'received bytes', requestId) : { kind: result }
  }

  private _refuse (bytes: number, decidedBy: string, requestId: string | undefined): BodyReadResult {
    const { budget, log, step } = this._options
    log.log(REQUEST_BODY_REFUSED, { step, request: requestId, bytes, decidedBy, heldBytes: budget.bytes, limitBytes: budget.limit })
    return { kind: 'no-memory' }
  }

  /** The complete body, or why there is none; the rest of the body is then discarded as it arrives. */
  private _collect (
    body: Readable, expectedBytes: number | undefined, { maximumBytes, deadlineAt }: IBodyLimits, reservation: BodyReservation
  ): Promise<Buffer | Exclude<BodyReadResult['kind'], 'whole'>> {
    const { clock } = this._options
    const collector = new ByteCollector(expectedBytes)
    return new Promise((resolve) => {
      const finish = (result: Buffer | Exclude<BodyReadResult['kind'], 'whole'>): void => {
        timer.dispose()
        body.off('data', onData).off('end', onEnd).off('close', onClose)
        collector.clear()
        resolve(result)
      }
      const onData = (chunk: Buffer): void => {
        collector.append(chunk)
        if (collector.byteLength > maximumBytes) finish('too-large')
        else if (!reservation.tryGrow(collector.reservedBytes)) finish('no-memory')
      }
      const onEnd = (): void => finish(collector.content())
      const onClose = (): void => finish('incomplete')
      const timer = clock.after(deadlineAt - clock.now() as Milliseconds, () => finish('incomplete'))
      // Stays after the result, since an error without a listener would end the process.
      body.on('error', onClose)
      body.on('data', onData).once('end', onEnd).once('close', onClose)
    })
  }
}
