/** Bounds of the benchmarks, taken from the stated performance targets. */
export const BOUNDS = Object.freeze({
  /** Time within which an accepted configuration is active on all nodes. */
  convergenceMs: 5_000,
  /** Control traffic of a node. */
  controlBytesPerSecond: 6_000,
  /** Processor time of the control plane, in percent of one core. */
  controlCorePercent: 2.3,
  /** Resident memory of a node. */
  residentMegabytes: 128,
  /** 99th percentile of the latency added to a call. */
  addedLatencyP99Ms: 0.62,
  /** Time after which a draining or failed endpoint receives no new requests. */
  drainStopMs: 3_000,
  /** Goodput under overload, in percent of capacity. */
  goodputPercent: 90,
  /** Attempts per call through a chain of six services. */
  retryAmplification: 1.2,
  /** Success rate of other calls while a request crashes its upstreams, in percent. */
  otherCallsSuccessPercent: 99,
  /** Number of times that a document body is transferred between two regions for one change. */
  bodiesPerRegionPair: 2,
  /** Reads per second that the platform can handle. */
  storeReadsPerSecond: 2_000,
  /** Writes per second that the platform can handle. */
  storeWritesPerSecond: 300,
  /** Difference by which the on-time share of a rank may fall below that of a less important rank, in percentage points. */
  rankInversionPercent: 5,
  /** Executions of one non-idempotent request. */
  executionsPerKey: 1,
  none: 0
})
