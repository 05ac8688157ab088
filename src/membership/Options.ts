/** Settings of the membership module with their defaults. */
import type { Milliseconds } from '../common/Types.js'

/** Settings of failure detection and of the member view. */
export interface IMembershipSettings {
  /** Time after which a suspect that has not refuted is declared dead. */
  readonly suspicionTimeout: Milliseconds
  /** Maximum additional time on nodes that received the suspicion from others, so that the node that raised it declares the death first. */
  readonly suspicionSpread: Milliseconds
  /** How long records of dead and left nodes are kept, so that an out-of-order record cannot bring them back. */
  readonly retention: Milliseconds
  /** A failure domain is unreachable once no gateway has received anything from it for this time. */
  readonly domainTimeout: Milliseconds
  /** How often a gateway publishes its list of unresponsive failure domains while the list does not change. */
  readonly statementInterval: Milliseconds
  /** Maximum number of records in the member view; further ones are refused. */
  readonly maximumMembers: number
  /** How often suspicion timeouts, retention and reachability are checked. */
  readonly sweepInterval: Milliseconds
  /** How long `leave` waits so that its announcement reaches the peers. */
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

/** Settings of the overlay links. */
export interface IOverlaySettings {
  /** A heartbeat is sent on a link once nothing else has been sent for about this time. */
  readonly heartbeatInterval: Milliseconds
  /** A link on which nothing was received for this time is closed, and its peer becomes suspect. */
  readonly heartbeatTimeout: Milliseconds
  /** Timeout for the hello of the other node on a new channel. */
  readonly helloTimeout: Milliseconds
  /** Number of links that a node dials to its nearest successors on the ring of its failure domain. */
  readonly ringLinks: number
  /** Number of further links that a node dials inside its failure domain, to members selected by hash. */
  readonly spreadLinks: number
  /** Maximum number of links inside the failure domain; further ones are refused. */
  readonly maximumLocalLinks: number
  /** Maximum number of links to other failure domains; further ones are refused. */
  readonly maximumGatewayLinks: number
  /** Sustained rate at which a node admits new members. */
  readonly joinsPerSecond: number
  /** Number of new members that a node admits in a burst. */
  readonly joinBurst: number
  /** How often the open links are compared with the targets. */
  readonly maintenanceInterval: Milliseconds
  /** Initial bound of the delay before the next attempt to dial one peer; doubles with each failure up to the maximum. */
  readonly redialDelay: Milliseconds
  readonly maximumRedialDelay: Milliseconds
  /** Maximum number of members that a node without any link suspects, which limits the refutations if its own network is at fault. */
  readonly maximumIsolatedSuspicions: number
}

/** Defaults of `IOverlaySettings`. */
export const DEFAULT_OVERLAY_SETTINGS: IOverlaySettings = Object.freeze({
  heartbeatInterval: 500 as Milliseconds,
  heartbeatTimeout: 1_100 as Milliseconds,
  helloTimeout: 1_000 as Milliseconds,
  ringLinks: 1,
  spreadLinks: 2,
  maximumLocalLinks: 16,
  maximumGatewayLinks: 32,
  joinsPerSecond: 5,
  joinBurst: 10,
  maintenanceInterval: 250 as Milliseconds,
  redialDelay: 500 as Milliseconds,
  maximumRedialDelay: 2_000 as Milliseconds,
  maximumIsolatedSuspicions: 8
})

/** Settings of the exchange of records. */
export interface IRecordExchangeSettings {
  /** Changes are collected for this time before they are sent. */
  readonly batchInterval: Milliseconds
  /** Shorter collection time for changes after which other nodes must stop sending requests to an endpoint. */
  readonly urgentBatchInterval: Milliseconds
  /** Average time between two digests on a link; each interval is drawn between two thirds and four thirds of it. */
  readonly digestInterval: Milliseconds
  /** Maximum number of records in one message. */
  readonly recordsPerMessage: number
  /** If more records than this changed, they are not sent; the views are compared with each peer instead. */
  readonly maximumBatchRecords: number
  /** Number of member buckets whose versions are sent in one message. */
  readonly bucketsPerMessage: number
  /** Time between two messages with member buckets. */
  readonly bucketInterval: Milliseconds
  /** Minimum time between two comparisons whose bucket digests this node evaluates. */
  readonly minimumComparisonInterval: Milliseconds
}

/** Defaults of `IRecordExchangeSettings`. */
export const DEFAULT_RECORD_EXCHANGE_SETTINGS: IRecordExchangeSettings = Object.freeze({
  batchInterval: 100 as Milliseconds,
  urgentBatchInterval: 10 as Milliseconds,
  digestInterval: 4_000 as Milliseconds,
  recordsPerMessage: 200,
  maximumBatchRecords: 256,
  bucketsPerMessage: 16,
  bucketInterval: 20 as Milliseconds,
  minimumComparisonInterval: 1_000 as Milliseconds
})

/** Settings of the join and of the directory. */
export interface IBootstrapSettings {
  /** `host:port` of nodes to contact in addition to those in the directory. */
  readonly peers: readonly string[]
  /** Maximum delay before the first attempt; the delay is drawn uniformly from 0. */
  readonly startJitter: Milliseconds
  /** First and maximum bound of the delay between attempts; the delay is drawn uniformly from 0. */
  readonly retryDelay: Milliseconds
  readonly maximumRetryDelay: Milliseconds
  /** How often the directory object is compared with the member view, and written if it differs. */
  readonly refreshInterval: Milliseconds
  /** A directory object is rewritten after this time even if its members did not change. */
  readonly rewriteInterval: Milliseconds
  /** Maximum number of members in the directory object. */
  readonly directoryMembers: number
  /** Number of directory slots of a failure domain. */
  readonly directorySlots: number
  /** Maximum number of addresses that are contacted in one attempt. */
  readonly contactsPerAttempt: number
}

/** Defaults of `IBootstrapSettings`. */
export const DEFAULT_BOOTSTRAP_SETTINGS: IBootstrapSettings = Object.freeze({
  peers: [],
  startJitter: 2_000 as Milliseconds,
  retryDelay: 1_000 as Milliseconds,
  maximumRetryDelay: 10_000 as Milliseconds,
  refreshInterval: 10_000 as Milliseconds,
  rewriteInterval: 60_000 as Milliseconds,
  directoryMembers: 16,
  directorySlots: 4,
  contactsPerAttempt: 4
})
