/** Handlers of the calls to the operator port, independent of the transport. */
import { isName } from '../common/Ids.js'
import type { DocumentVersion, ServiceName, SubmissionId, TeamName, Timestamp } from '../common/Types.js'
import type { IAcceptanceService, IAcceptedDocuments } from '../documents/Services.js'
import type { IAcceptedChange, ISubmission, SubmissionOutcome } from '../documents/Types.js'
import type { ICatchUpService, CatchUpSource, ISnapshotService } from '../distribution/Services.js'
import type { IMembershipService } from '../membership/Services.js'
import type { IBurnService } from '../routing/Services.js'
import type { BurnReply } from '../generated/savoryknot/BurnReply.js'
import type { EndpointsReply } from '../generated/savoryknot/EndpointsReply.js'
import type { HistoryReply } from '../generated/savoryknot/HistoryReply.js'
import type { NodesReply } from '../generated/savoryknot/NodesReply.js'
import type { ReceivedShowRequest } from '../generated/savoryknot/ShowRequest.js'
import type { ReceivedSubmitRequest } from '../generated/savoryknot/SubmitRequest.js'
import type { ShowReply } from '../generated/savoryknot/ShowReply.js'
import type { StatusReply } from '../generated/savoryknot/StatusReply.js'
import type { SubmitReply } from '../generated/savoryknot/SubmitReply.js'
import { InvalidArgumentError } from './OperatorErrors.js'
import { toBurnStatus, toChangeMessage, toEndpointStatus, toNodeMessage, toSubmitReply } from './OperatorMessages.js'
import { StatusReader } from './StatusReader.js'
import type { IReportService } from '../distribution/Services.js'

const DEFAULT_HISTORY_LIMIT = 20
const MAXIMUM_HISTORY_LIMIT = 1_000
const MAXIMUM_AUTHOR_LENGTH = 128

/** Is notified of each accepted version at once, so that convergence does not wait for the next poll of the store. */
export interface IAcceptedListener {
  recordAccepted (change: IAcceptedChange, text: string, now: Timestamp): void
}

/** Dependencies of the handlers. */
export interface IOperatorHandlersOptions {
  readonly acceptance: IAcceptanceService
  readonly accepted: IAcceptedDocuments
  readonly listener: IAcceptedListener
  readonly reports: IReportService
  readonly snapshots: ISnapshotService
  readonly catchUp: ICatchUpService
  readonly membership: IMembershipService
  readonly burn: IBurnService
}

/** One method for each call. The server converts errors to RPC status codes. */
export class OperatorHandlers {
  private readonly _statusReader: StatusReader

  constructor (private readonly _options: IOperatorHandlersOptions) {
    this._statusReader = new StatusReader(_options)
  }

  /** `team` is the team in the client certificate; undefined if certificates are off. */
  public async submit (request: ReceivedSubmitRequest, team: TeamName | undefined, now: Timestamp): Promise<SubmitReply> {
    const submission = toSubmission(request, team)
    const outcome = await this._options.acceptance.submit(submission, now)
    this._distribute(outcome, submission, now)
    return toSubmitReply(outcome)
  }

  public async show (request: ReceivedShowRequest): Promise<ShowReply> {
    const service = toServiceName(request.service)
    const change = request.version === 0
      ? await this._options.accepted.readNewest(service)
      : await this._options.accepted.readVersion(service, request.version as DocumentVersion)
    if (change === undefined) return {}
    const text = change.isTombstone ? '' : await this._options.accepted.readText(change.hash)
    return { change: toChangeMessage(change), text: text ?? '' }
  }

  public async history (service: string, limit: number): Promise<HistoryReply> {
    const bounded = Math.min(limit === 0 ? DEFAULT_HISTORY_LIMIT : limit, MAXIMUM_HISTORY_LIMIT)
    const changes = await this._options.accepted.readHistory(toServiceName(service), bounded)
    return { changes: changes.map(toChangeMessage) }
  }

  public status (service: string, now: Timestamp): Promise<StatusReply> {
    return this._statusReader.read(service === '' ? undefined : toServiceName(service), now)
  }

  public endpoints (service: string): EndpointsReply {
    const services = service === '' ? this._servicesWithEndpoints() : [toServiceName(service)]
    const endpoints = services.flatMap((name) => {
      return this._options.membership.endpoints(name).map((endpoint) => toEndpointStatus(name, endpoint))
    })
    return { endpoints }
  }

  public nodes (): NodesReply {
    const { membership, catchUp } = this._options
    return {
      nodes: [...membership.members.values()].map(toNodeMessage),
      answeredBy: membership.self.id,
      catchUpSource: describeSource(catchUp.source)
    }
  }

  public async burn (service: string, now: Timestamp): Promise<BurnReply> {
    const reports = await this._options.burn.read(now)
    const wanted = service === '' ? reports : reports.filter((report) => report.service === service)
    return { reports: wanted.map(toBurnStatus) }
  }

  private _distribute (outcome: SubmissionOutcome, submission: ISubmission, now: Timestamp): void {
    if (outcome.kind !== 'accepted') return
    this._options.listener.recordAccepted(outcome.change, submission.text ?? '', now)
  }

  private _servicesWithEndpoints (): ServiceName[] {
    const names = new Set<ServiceName>()
    for (const member of this._options.membership.members.values()) {
      for (const endpoint of member.endpoints) names.add(endpoint.service)
    }
    return [...names].sort()
  }
}

/** Validates the arguments of a submission. */
function toSubmission (request: ReceivedSubmitRequest, team: TeamName | undefined): ISubmission {
  if (request.submissionId === '') throw new InvalidArgumentError('submission_id is empty', { step: 'operator.submit' })
  if (request.author.length > MAXIMUM_AUTHOR_LENGTH) throw new InvalidArgumentError('author is too long', { step: 'operator.submit' })
  return {
    id: request.submissionId as SubmissionId,
    service: toServiceName(request.service),
    expected: request.expectedVersion === 0 ? 'new' : request.expectedVersion as DocumentVersion,
    text: request.isDeletion ? undefined : request.text,
    author: request.author,
    team
  }
}

/** Validates the name of a service. */
function toServiceName (text: string): ServiceName {
  if (!isName(text)) throw new InvalidArgumentError(`not a service name: ${JSON.stringify(text.slice(0, MAXIMUM_AUTHOR_LENGTH))}`, { step: 'operator.arguments' })
  return text as ServiceName
}

/** Readable description of the source against which the catch-up was confirmed. */
function describeSource (source: CatchUpSource | undefined): string {
  if (source === undefined) return 'not completed'
  return source.kind === 'store' ? 'store' : `peers ${source.peers.join(' ')}`
}
