/** What the front knows of one caller's connection. */

/** Requests of one connection; a caller may send the next one before it has the answer. */
export class CallerConnection {
  /** Requests whose answer is not whole yet. */
  public inFlight = 0
  /** True once an answer told the caller that the connection ends; later requests on it are not read. */
  public isClosing = false
}
