/** Conversions of internal types to the messages of the operator port. */
import type { IAcceptedChange, SubmissionOutcome } from '../documents/Types.js'
import type { IServiceReport, IDomainReport } from '../distribution/Services.js'
import type { INodeRecord, IRoutableEndpoint } from '../membership/Types.js'
import type { IBurnReport } from '../routing/Services.js'
import type { ServiceName, Timestamp } from '../common/Types.js'
import type { BurnStatus } from '../generated/savoryknot/BurnStatus.js'
import type { Change } from '../generated/savoryknot/Change.js'
import type { DomainStatus } from '../generated/savoryknot/DomainStatus.js'
import type { EndpointStatus } from '../generated/savoryknot/EndpointStatus.js'
import type { NodeRecord } from '../generated/savoryknot/NodeRecord.js'
import type { SubmitReply } from '../generated/savoryknot/SubmitReply.js'

/** Time of the last report of a failure domain that has never reported. */
const NEVER = 0

/** Converts an accepted change. */
export function toChangeMessage (change: IAcceptedChange): Change {
  return {
    service: change.service,
    version: change.version,
    hash: change.hash,
    isTombstone: change.isTombstone,
    sequence: change.sequence,
    author: change.author,
    acceptedAt: change.acceptedAt
  }
}

/** Converts the outcome of a submission to its reply. */
export function toSubmitReply (outcome: SubmissionOutcome): SubmitReply {
  switch (outcome.kind) {
    case 'accepted': return { kind: outcome.kind, change: toChangeMessage(outcome.change), isRepeat: outcome.isRepeat }
    case 'invalid': return { kind: outcome.kind, faults: [...outcome.faults] }
    case 'conflict': return { kind: outcome.kind, change: outcome.present === undefined ? null : toChangeMessage(outcome.present) }
    case 'forbidden': return { kind: outcome.kind, message: outcome.message }
  }
}

/** Converts the versions of one service that one failure domain reports as in force. */
export function toDomainStatus (report: IDomainReport, service: IServiceReport | undefined, now: Timestamp): DomainStatus {
  return {
    failureDomain: report.failureDomain,
    isHeard: report.isHeard,
    silenceMs: report.writtenAt === NEVER ? 0 : Math.max(0, now - report.writtenAt),
    members: report.members,
    versions: service?.versions.map((count) => ({ ...count })) ?? [],
    rejections: service?.rejections.map((rejection) => ({ ...rejection })) ?? []
  }
}

export function toEndpointStatus (service: ServiceName, endpoint: IRoutableEndpoint): EndpointStatus {
  return {
    service,
    endpoint: endpoint.id,
    node: endpoint.node,
    failureDomain: endpoint.failureDomain,
    gateAddress: endpoint.gateAddress,
    state: endpoint.state,
    slots: endpoint.slots,
    isReachable: endpoint.isReachable
  }
}

export function toNodeMessage (record: INodeRecord): NodeRecord {
  return {
    id: record.id,
    failureDomain: record.failureDomain,
    region: record.region,
    peerAddress: record.peerAddress,
    gateAddress: record.gateAddress,
    incarnation: record.incarnation,
    sequence: record.sequence,
    state: record.state.toUpperCase() as 'ALIVE' | 'SUSPECT' | 'DEAD' | 'LEFT',
    software: record.software
  }
}

/** Converts the error budget burn of one service in one failure domain. */
export function toBurnStatus (report: IBurnReport): BurnStatus {
  return {
    service: report.service,
    failureDomain: report.failureDomain,
    objective: report.objective,
    windows: report.windows.map((window) => ({
      windowMs: window.window, good: window.good, bad: window.bad, burnRate: window.burnRate
    }))
  }
}
