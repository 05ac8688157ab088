/** Settings of membership/ with their defaults. */
import type { Milliseconds } from '../common/Types.js'

/** How failures are judged and how the member view is kept. */
export interface IMembershipSettings {
  /** Time from suspicion to death, unless the suspect refutes. */
  readonly suspicionTimeout: Milliseconds
  /** Added by members that only heard of the suspicion, so that its author declares the death first. */
  readonly suspicionSpread: Milliseconds
  /** How long records of dead and left nodes are kept, so that a late record cannot bring them back. */
  readonly retention: Milliseconds
  /** A failure domain that no gateway has heard for this time is unreachable. */
  readonly domainTimeout: Milliseconds
  /** How often a gateway states which failure domains it does not hear, also when nothing changed. */
  readonly statementInterval: Milliseconds
  /** Records held; further ones are refused. */
  readonly maximumMembers: number
  /** How often suspicions, retention and reachability are looked at. */
  readonly sweepInterval: Milliseconds
  /** How long `leave` waits for the announcement to be sent. */
  readonly leaveGrace: Milliseconds
}

/** Defaults of `IMembershipSettings`. */
export const DEFAULT_MEMBERSHIP_SETTINGS: IMembershipSettings = Object.freeze({
  suspicionTimeout: 1_000 as Milliseconds,
  suspicionSpread: 500 as Milliseconds,
  retention: 600_000 as Milliseconds,
  domainTimeout: 2_000 as Milliseconds,
  statementInterval: 5_000 as Milliseconds,
  maximumMembers: 20_000,
  sweepInterval: 250 as Milliseconds,
  leaveGrace: 100 as Milliseconds
})

/** How links are kept. */
export interface IOverlaySettings {
  readonly heartbeatInterval: Milliseconds
  /** A link that was silent for this time is lost and its peer suspect. */
  readonly silenceTimeout: Milliseconds
  /** Time for the other side to introduce itself. */
  readonly helloTimeout: Milliseconds
  /** Links that a node dials to its nearest successors on the ring of its failure domain. */
  readonly ringLinks: number
  /** Further links that a node dials inside its failure domain, spread by hash. */
  readonly spreadLinks: number
  /** Links inside the failure domain; one more is refused. */
  readonly maximumLocalLinks: number
  /** Links to other failure domains; one more is refused. */
  readonly maximumGatewayLinks: number
  /** New members that a node admits. */
  readonly joinsPerSecond: number
  /** New members that a node admits at once after a quiet time. */
  readonly joinBurst: number
  /** How often wanted and present links are compared. */
  readonly maintainInterval: Milliseconds
  /** Shortest time between two attempts to reach one peer; doubles up to the longest. */
  readonly redialDelay: Milliseconds
  readonly longestRedialDelay: Milliseconds
  /** Members that a node without any link may suspect, which bounds the refutations if the fault was its own. */
  readonly isolatedSuspicions: number
}

/** Defaults of `IOverlaySettings`. */
export const DEFAULT_OVERLAY_SETTINGS: IOverlaySettings = Object.freeze({
  heartbeatInterval: 500 as Milliseconds,
  silenceTimeout: 1_100 as Milliseconds,
  helloTimeout: 1_000 as Milliseconds,
  ringLinks: 1,
  spreadLinks: 2,
  maximumLocalLinks: 16,
  maximumGatewayLinks: 32,
  joinsPerSecond: 5,
  joinBurst: 10,
  maintainInterval: 250 as Milliseconds,
  redialDelay: 500 as Milliseconds,
  longestRedialDelay: 2_000 as Milliseconds,
  isolatedSuspicions: 8
})

/** How records travel. */
export interface IRecordExchangeSettings {
  /** Changes are collected for this time. */
  readonly batchInterval: Milliseconds
  /** Changes that take work away from an endpoint are collected only for this time. */
  readonly urgentBatchInterval: Milliseconds
  /** How often digests are compared on a link. */
  readonly digestInterval: Milliseconds
  /** Records in one message. */
  readonly recordsPerMessage: number
  /** More changes than this at once are not sent, but compared with each peer. */
  readonly largestBatch: number
  /** Buckets of members whose versions go into one message. */
  readonly bucketsPerMessage: number
  /** Time between two such messages. */
  readonly bucketInterval: Milliseconds
  /** Least time between the comparisons that this node answers. */
  readonly comparisonTimeout: Milliseconds
}

/** Defaults of `IRecordExchangeSettings`. */
export const DEFAULT_RECORD_EXCHANGE_SETTINGS: IRecordExchangeSettings = Object.freeze({
  batchInterval: 100 as Milliseconds,
  urgentBatchInterval: 10 as Milliseconds,
  digestInterval: 4_000 as Milliseconds,
  recordsPerMessage: 200,
  largestBatch: 256,
  bucketsPerMessage: 16,
  bucketInterval: 20 as Milliseconds,
  comparisonTimeout: 1_000 as Milliseconds
})

/** How a node finds others. */
export interface IBootstrapSettings {
  /** `host:port` of nodes to ask besides the directory. */
  readonly peers: readonly string[]
  /** Greatest wait before the first attempt; the wait is drawn evenly from 0. */
  readonly startJitter: Milliseconds
  /** First and longest bound of the wait between attempts; the wait is drawn evenly from 0. */
  readonly retryDelay: Milliseconds
  readonly longestRetryDelay: Milliseconds
  /** How often the directory object is compared with the member view and written. */
  readonly refreshInterval: Milliseconds
  /** A directory object is written at least this often even if its members did not change. */
  readonly rewriteInterval: Milliseconds
  /** Members named in the directory object. */
  readonly directoryMembers: number
  /** Directory slots of a failure domain. */
  readonly directorySlots: number
  /** Addresses that are tried in one attempt. */
  readonly contactsPerAttempt: number
}

/** Defaults of `IBootstrapSettings`. */
export const DEFAULT_BOOTSTRAP_SETTINGS: IBootstrapSettings = Object.freeze({
  peers: [],
  startJitter: 2_000 as Milliseconds,
  retryDelay: 1_000 as Milliseconds,
  longestRetryDelay: 10_000 as Milliseconds,
  refreshInterval: 10_000 as Milliseconds,
  rewriteInterval: 60_000 as Milliseconds,
  directoryMembers: 16,
  directorySlots: 4,
  contactsPerAttempt: 4
})
