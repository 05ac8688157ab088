/** Handler of the request that opens a connection before the first call. */
import type { Dispatcher } from 'undici'

/** Ignores the response of the gate; only the open connection is needed. */
export class WarmingHandler implements Dispatcher.DispatchHandler {
  public onRequestStart (): void {}

  public onResponseStart (): void {}

  public onResponseData (): void {}

  public onResponseEnd (): void {}

  /** The first call reports the error if it persists. */
  public onResponseError (): void {}
}
