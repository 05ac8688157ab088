/** Messages between the benchmark and its child processes. */

/** Path of a call to the upstream. */
export type CallPath = 'direct' | 'plain-hop' | 'one-hop' | 'two-hops' | 'embedded'

/** Addresses of the processes of one run. */
export interface ILayout {
  readonly upstream: string
  readonly gate: string
  /** Empty without the baseline. */
  readonly plainFront: string
  readonly nearFront: string
  readonly farFront: string
}

/** Requests one block of calls from the caller process. */
export interface IBlockRequest {
  readonly kind: 'block'
  readonly paths: readonly CallPath[]
  /** Calls per second on each path; 0 for as many as possible. */
  readonly rate: number
  readonly durationMs: number
}

/** Results of a block of calls. */
export interface IBlockResult {
  readonly kind: 'block-result'
  /** Latencies in milliseconds, by path. */
  readonly latencies: Partial<Record<CallPath, readonly number[]>>
  readonly failures: number
  readonly elapsedMs: number
}

/** Total processor time of a process, in microseconds, and its resident memory, in bytes. */
export interface IUsage {
  readonly kind: 'usage'
  readonly processorMicroseconds: number
  readonly residentBytes: number
}

/** Sent once by a process when it is listening. */
export interface IReady {
  readonly kind: 'ready'
  readonly addresses: Readonly<Record<string, string>>
}

export type ProcessMessage = IBlockResult | IUsage | IReady
export type ProcessRequest = IBlockRequest | { readonly kind: 'ask-usage' } | { readonly kind: 'stop' }
