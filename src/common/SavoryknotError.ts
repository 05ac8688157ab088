/** Base class of the errors that savoryknot throws. */

/** Origin of an error. */
export interface IErrorOrigin {
  /** The step that failed, for example `platform.transact` or `gate.connect`. */
  readonly step: string
  /** The node, address or store of the peer, if there was one. */
  readonly peer?: string
  /** The error that caused this one. */
  readonly cause?: unknown
}

/** An error with the step that failed and the peer that was involved. */
export class SavoryknotError extends Error {
  /** The step that failed. */
  public readonly step: string
  /** The peer, if there was one. */
  public readonly peer: string | undefined

  constructor (message: string, origin: IErrorOrigin) {
    super(message, { cause: origin.cause })
    this.name = new.target.name
    this.step = origin.step
    this.peer = origin.peer
  }
}
