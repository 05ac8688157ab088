/** State of one connection of a caller. */

/** Counts the requests of one connection; with HTTP pipelining several may be in flight. */
export class CallerConnection {
  /** Requests whose response is not complete. */
  public inFlight = 0
  /** True after a response with `connection: close`; later requests on the connection are ignored. */
  public isClosing = false
}
