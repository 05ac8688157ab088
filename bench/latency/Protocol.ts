/** Messages between the benchmark and its processes. */

/** Way of a call to the upstream. */
export type CallPath = 'direct' | 'plain-hop' | 'one-hop' | 'two-hops' | 'embedded'

/** How the processes of one run find each other. */
export interface ILayout {
  readonly upstream: string
  readonly gate: string
  /** Empty without the baseline. */
  readonly plainFront: string
  readonly nearFront: string
  readonly farFront: string
}

/** Asks the caller process for one block of calls. */
export interface IBlockOrder {
  readonly kind: 'block'
  readonly paths: readonly CallPath[]
  /** Calls a second of each path; 0 for as many as possible. */
  readonly rate: number
  readonly durationMs: number
}

/** What a block gave. */
export interface IBlockResult {
  readonly kind: 'block-result'
  /** Latencies in milliseconds, by path. */
  readonly latencies: Partial<Record<CallPath, readonly number[]>>
  readonly failures: number
  readonly elapsedMs: number
}

/** Processor time of a process so far, in microseconds, and its resident memory in bytes. */
export interface IUsage {
  readonly kind: 'usage'
  readonly processorMicroseconds: number
  readonly residentBytes: number
}

/** Sent once by a process that listens. */
export interface IReady {
  readonly kind: 'ready'
  readonly addresses: Readonly<Record<string, string>>
}

export type FromProcess = IBlockResult | IUsage | IReady
export type ToProcess = IBlockOrder | { readonly kind: 'ask-usage' } | { readonly kind: 'stop' }
