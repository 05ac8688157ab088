/** Limits the total memory of request bodies that are being received or that belong to requests in progress. */
import { DEFAULT_RESPONSE_BUFFER_BUDGET_OPTIONS } from './ResponseBufferBudget.js'

/** Options of `RequestBodyBudget`. */
export interface IRequestBodyBudgetOptions {
  /** Maximum memory of all bodies together, in bytes. */
  readonly limit: number
}

/** Memory that a node uses without bodies, in bytes: its code, its state and the messages between nodes. */
const OWN_MEMORY_BYTES = 100_000_000
/** Smallest limit, in bytes, however little memory the VM has. */
const MINIMUM_LIMIT_BYTES = 4_194_304
/** Bodies up to this size, in bytes, may also use the part of the budget that is reserved for them. */
const SMALL_BODY_BYTES = 65_536
/** Share of the limit that is available to bodies of any size; the rest is reserved for small ones. */
const SHARED_SHARE = 0.875

/**
 * Maximum memory of bodies on a VM with `memory` bytes. Half of what is left beside the node itself and its responses, since the memory of
 * a body that is no longer used is freed only by the next garbage collection.
 */
export function requestBodyLimit (memory: number): number {
  const rest = memory - OWN_MEMORY_BYTES - DEFAULT_RESPONSE_BUFFER_BUDGET_OPTIONS.limit
  return Math.max(MINIMUM_LIMIT_BYTES, Math.floor(rest / 2))
}

/** Defaults of `RequestBodyBudget`, for a VM with as little memory as is supported. */
export const DEFAULT_REQUEST_BODY_BUDGET_OPTIONS: IRequestBodyBudgetOptions = Object.freeze({ limit: requestBodyLimit(178_000_000) })

/** The memory that one body occupies. */
export class BodyReservation {
  private _bytes = 0

  constructor (private readonly _budget: RequestBodyBudget) {}

  public get bytes (): number {
    return this._bytes
  }

  /** Grows to `bytes`; false, without any change, if that exceeds the budget. */
  public tryGrow (bytes: number): boolean {
    if (bytes <= this._bytes) return true
    if (!this._budget.tryTake(bytes - this._bytes, bytes)) return false
    this._bytes = bytes
    return true
  }

  /** Gives all memory back. */
  public release (): void {
    this._budget.giveBack(this._bytes)
    this._bytes = 0
  }
}

/** One for the process. A body that does not fit is refused; bodies that were accepted are never dropped. */
export class RequestBodyBudget {
  private _bytes = 0
  private _refusals = 0
  private readonly _options: IRequestBodyBudgetOptions

  constructor (options: Partial<IRequestBodyBudgetOptions> = {}) {
    this._options = { ...DEFAULT_REQUEST_BODY_BUDGET_OPTIONS, ...options }
  }

  /** Memory of all bodies in bytes. */
  public get bytes (): number {
    return this._bytes
  }

  /** Maximum memory of all bodies in bytes. */
  public get limit (): number {
    return this._options.limit
  }

  /** Largest body in bytes that fits while no other body is held. */
  public get largestBody (): number {
    return Math.floor(this._options.limit * SHARED_SHARE)
  }

  /** Number of bodies that did not fit. */
  public get refusals (): number {
    return this._refusals
  }

  /** A reservation without memory. */
  public reserve (): BodyReservation {
    return new BodyReservation(this)
  }

  /** Takes `bytes` for a body that then occupies `total`; false if that exceeds the limit. */
  public tryTake (bytes: number, total: number): boolean {
    const limit = total <= SMALL_BODY_BYTES ? this._options.limit : this.largestBody
    if (this._bytes + bytes > limit) {
      this._refusals++
      return false
    }
    this._bytes += bytes
    return true
  }

  public giveBack (bytes: number): void {
    this._bytes -= bytes
  }
}
