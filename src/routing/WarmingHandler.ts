/** Opens a connection ahead of its first call. */
import type { Dispatcher } from 'undici'

/** Ignores whatever the gate answers: only the open connection counts. */
export class WarmingHandler implements Dispatcher.DispatchHandler {
  public onRequestStart (): void {}

  public onResponseStart (): void {}

  public onResponseData (): void {}

  public onResponseEnd (): void {}

  /** The first call will find out. */
  public onResponseError (): void {}
}
