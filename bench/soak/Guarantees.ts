/** Checks the records of callers and endpoints against the guarantees of the mesh. */
import { endpointIdPrefix, HEARTBEAT_MS } from './EndpointReports.js'
import { DisconnectGuarantees } from './DisconnectGuarantees.js'
import { ROUTES, SHORT_TIMEOUT_MS, VERSION_SERVICE, versionPrefix, type SoakDeployment } from './SoakDeployment.js'
import { STOP_SECONDS } from './SoakNode.js'
import { FAILURE_KINDS, type DisruptionKind, type IBreach, type ICallerRecord, type IRunRecord } from './Types.js'

const REFUSALS = [429, 503]
const NOT_FOUND = 404
const ANSWERED = 200
/** Range of the statuses that acknowledge a report. */
const MINIMUM_SUCCESS = 200
const MAXIMUM_SUCCESS = 299
/** Time within which a confirmed configuration becomes active. */
const CONFIGURATION_LIMIT_MS = 5_000
/** Faults that separate a node from the store, or from the nodes that read the store. */
const CONFIGURATION_KINDS: readonly DisruptionKind[] = ['killed', 'paused', 'late', 'link', 'store', 'stopping']
/** Maximum time from the timeout of a request until its final response. */
const RESPONSE_TOLERANCE_MS = 1_000
const DEADLINE_MS = 1_500
/** Share of the stop timeout after which running requests may be cut off. */
const STOP_CUT_SHARE = 5 / 6
const MS_PER_SECOND = 1_000
/** Share of its timeout after which the end of a request may be due to the timeout. */
const TIMEOUT_SHARE = 0.7
/** Time after the acknowledged drain report of an endpoint after which no request starts there. */
const DRAIN_LIMIT_MS = 500
/** Maximum age of a request that is still in flight, unread by the node, when a planned stop closes its connection. */
const UNREAD_AGE_MS = 500
/** Faults of a process. */
const PROCESS_KINDS: readonly DisruptionKind[] = ['killed', 'paused', 'late', 'stopping']
/** Faults that keep requests from the endpoint of a node. */
const USE_KINDS: readonly DisruptionKind[] = [...PROCESS_KINDS, 'link', 'endpoint', 'store']
/** Maximum time between two reads of the settings because of heartbeats that contradict them. */
const SETTINGS_READ_INTERVAL_MS = 1_000
/** Time within which a new endpoint of changed settings is acknowledged: by the second heartbeat after the settings were read. */
const SETTINGS_LIMIT_MS = SETTINGS_READ_INTERVAL_MS + 2 * HEARTBEAT_MS + 300
/** Time from its first acknowledgement within which the endpoint gets a request. */
const USE_LIMIT_MS = 2_000
/** Minimum share of served requests among those sent after all faults, in percent. */
const MINIMUM_SERVED_PERCENT = 99

/** Evaluates the records of a finished run. */
export class Guarantees {
  private readonly _breaches: IBreach[] = []

  constructor (private readonly _deployment: SoakDeployment) {}

  /** Returns every guarantee that was not kept. `undisturbedSince`: from then on no fault was active. */
  public check (undisturbedSince: number): readonly IBreach[] {
    for (const record of this._deployment.callerRecords) this._checkRecord(record)
    this._checkConfiguration()
    this._breaches.push(...new DisconnectGuarantees(this._deployment).check())
    this._checkDrains()
    this._checkForeignReports()
    this._checkSettingsChanges()
    this._checkProcesses()
    this._checkRecovery(undisturbedSince)
    return this._breaches
  }

  private _checkRecord (record: ICallerRecord): void {
    const runs = this._runsOf(record)
    const isRefusal = REFUSALS.includes(record.status) && record.signature === ''
    if (record.kind === 'pay' && runs.length > 1) this._addBreach('a non-idempotent request runs at most once', record, runs)
    if (record.kind === 'pay' && isRefusal && runs.length > 0) this._addBreach('a refused non-idempotent request does not run', record, runs)
    if (isRefusal && !((record.retryAfter ?? 0) > 0)) this._addBreach('a refusal states when to retry', record, runs)
    if (record.status === ANSWERED && !isMatchingResponse(record, runs)) this._addBreach('a response is complete and for its request', record, runs)
    const misstated = runs.filter(({ callerService, startedAt }) => {
      return !this._deployment.services.isValid(record.node, callerService, record.sentAt, startedAt)
    })
    if (misstated.length > 0) this._addBreach('the caller service is that of the VM where the request began', record, misstated)
    if (runs.some((run) => run.service !== serviceOf(record))) this._addBreach('a request runs at an endpoint of the service of its route', record, runs)
    if (this._isOverdue(record)) this._addBreach('a final response arrives in time', record, runs)
    if (this._isLost(record, runs)) this._addBreach('no request is lost in planned operations', record, runs)
  }

  private _isOverdue (record: ICallerRecord): boolean {
    const excess = record.endedAt - record.sentAt - timeoutOf(record)
    return excess > RESPONSE_TOLERANCE_MS &&
      this._deployment.disruptions.isUndisturbed([record.node], FAILURE_KINDS, record.sentAt, record.endedAt)
  }

  /**
   * True if the request had reached an endpoint, or must have been read by a node that was then stopped, and ended without its response,
   * although nothing but planned operations took place.
   */
  private _isLost (record: ICallerRecord, runs: readonly IRunRecord[]): boolean {
    if (record.signature !== '' || record.hasLeft || isRefused(record)) return false
    if (runs.length === 0 && !this._isCutBeforeForwarding(record)) return false
    if (record.endedAt - record.sentAt > timeoutOf(record) * TIMEOUT_SHARE) return false
    if (runs.length > 0 && this._isCutAtStopDeadline(record)) return false
    const involvedNodes = [record.node, ...runs.map(({ node }) => node)]
    return this._deployment.disruptions.isUndisturbed(involvedNodes, FAILURE_KINDS, record.sentAt, record.endedAt)
  }

  /** True if a planned stop of its node closed the connection before the request was forwarded, though the node must have read it. */
  private _isCutBeforeForwarding ({ node, status, sentAt, endedAt }: ICallerRecord): boolean {
    return status === 0 && endedAt - sentAt > UNREAD_AGE_MS && this._deployment.disruptions.overlapping(['stopping'], node, sentAt, endedAt).length > 0
  }

  /** True if the request was still running when the stop timeout had nearly expired, so that the node had to cut it off. */
  private _isCutAtStopDeadline ({ node, endedAt }: ICallerRecord): boolean {
    const stoppingSince = this._deployment.disruptions.activeSince('stopping', node, endedAt)
    return stoppingSince !== undefined && endedAt - stoppingSince > STOP_SECONDS * MS_PER_SECOND * STOP_CUT_SHARE
  }

  /** Checks that no process replaces its active version by an older one, and that confirmed versions become active in time. */
  private _checkConfiguration (): void {
    const newest = new Map<string, number>()
    const probes = this._deployment.callerRecords.filter(({ kind }) => kind === 'probe').sort((left, right) => left.endedAt - right.endedAt)
    for (const probe of probes) {
      const process = `${probe.node} ${probe.incarnation}`
      const version = versionOf(probe)
      if (probe.status === ANSWERED) newest.set(process, Math.max(newest.get(process) ?? 0, version))
      if (probe.status !== NOT_FOUND) continue
      const wasActive = this._deployment.callerRecords.some((other) => hadVersionBefore(other, probe, version))
      if (wasActive) this._addBreach('a process never returns to an older configuration', probe, [])
      if (this._isConfigurationLate(probe, version)) this._addBreach('a confirmed configuration becomes active in time', probe, [])
    }
  }

  private _isConfigurationLate (probe: ICallerRecord, version: number): boolean {
    const confirmedAt = this._deployment.versions.get(version) ?? Infinity
    return probe.sentAt > confirmedAt + CONFIGURATION_LIMIT_MS &&
      this._deployment.disruptions.isUndisturbed([probe.node], CONFIGURATION_KINDS, confirmedAt, probe.endedAt)
  }

  private _checkDrains (): void {
    const runs = [...this._deployment.runs.values()].flat()
    for (const drain of this._deployment.drains) {
      const started = runs.filter((run) =>
        run.node === drain.node && run.startedAt > drain.from + DRAIN_LIMIT_MS && run.startedAt < drain.until)
      for (const run of started) this._breaches.push({ guarantee: 'no request starts at a draining endpoint', detail: JSON.stringify({ drain, run }) })
    }
  }

  private _checkForeignReports (): void {
    const acknowledged = this._deployment.foreignReports.filter(({ status }) => status >= MINIMUM_SUCCESS && status <= MAXIMUM_SUCCESS)
    for (const report of acknowledged) this._breaches.push({ guarantee: 'a foreign report is not acknowledged', detail: JSON.stringify(report) })
  }

  private _checkSettingsChanges (): void {
    const { settingsChanges, disruptions } = this._deployment
    for (const change of settingsChanges) {
      const { node, changedAt, acknowledgedAt = Infinity, usedAt = Infinity } = change
      const isRefused = acknowledgedAt > changedAt + SETTINGS_LIMIT_MS &&
        disruptions.isUndisturbed([node], PROCESS_KINDS, changedAt, changedAt + SETTINGS_LIMIT_MS)
      const useLimit = acknowledgedAt + USE_LIMIT_MS
      const isUnused = usedAt > useLimit && disruptions.isUndisturbed([node], USE_KINDS, acknowledgedAt, useLimit)
      if (isRefused || isUnused) this._breaches.push({ guarantee: 'changed settings take effect in time', detail: JSON.stringify(change) })
    }
  }

  private _checkProcesses (): void {
    for (const { identity, unexpectedExits, overdueStops } of this._deployment.nodes) {
      if (unexpectedExits.length > 0) {
        this._breaches.push({ guarantee: 'a process exits only on request, with code 0', detail: `${identity.name}: ${unexpectedExits.join('; ')}` })
      }
      if (overdueStops.length > 0) this._breaches.push({ guarantee: 'a planned stop completes in time', detail: `${identity.name}: ${overdueStops.join(' ')} ms` })
    }
  }

  private _checkRecovery (undisturbedSince: number): void {
    const sent = this._deployment.callerRecords.filter(({ sentAt, kind, hasLeft }) => sentAt > undisturbedSince && kind !== 'short' && !hasLeft)
    const served = sent.filter(({ status }) => status === ANSWERED)
    if (served.length * 100 >= sent.length * MINIMUM_SERVED_PERCENT && sent.length > 0) return
    const examples = sent.filter(({ status }) => status !== ANSWERED).slice(0, 3)
    this._breaches.push({ guarantee: 'service recovers fully after the faults', detail: `${served.length} of ${sent.length}; ${JSON.stringify(examples)}` })
  }

  private _runsOf ({ id }: ICallerRecord): readonly IRunRecord[] {
    return this._deployment.runs.get(id) ?? []
  }

  private _addBreach (guarantee: string, record: ICallerRecord, runs: readonly IRunRecord[]): void {
    this._breaches.push({ guarantee, detail: JSON.stringify({ answer: record, runs }) })
  }
}

function isRefused ({ status }: ICallerRecord): boolean {
  return REFUSALS.includes(status)
}

/** True if the body belongs to the request and the endpoint that signed the response ran the request. */
function isMatchingResponse ({ signature, path, body }: ICallerRecord, runs: readonly IRunRecord[]): boolean {
  return body === `answer to ${path}` && runs.some(({ node, path: ran }) => signature.startsWith(`by ${endpointIdPrefix(node)}`) && ran === path)
}

/** Timeout of a request at its node, in milliseconds. */
function timeoutOf ({ kind }: ICallerRecord): number {
  return Math.min(DEADLINE_MS, kind === 'short' ? SHORT_TIMEOUT_MS : ROUTES[0]?.timeout ?? DEADLINE_MS)
}

function serviceOf ({ path }: ICallerRecord): string {
  return ROUTES.find(({ prefix }) => path.startsWith(prefix))?.service ?? VERSION_SERVICE
}

function versionOf ({ path }: ICallerRecord): number {
  return Number(path.split('/')[1]?.split('-')[1])
}

/** True if this version or a newer one was active in the same process before the probe was sent. */
function hadVersionBefore (other: ICallerRecord, probe: ICallerRecord, version: number): boolean {
  return other.kind === 'probe' && other.node === probe.node && other.incarnation === probe.incarnation && other.status === ANSWERED &&
    other.endedAt < probe.sentAt && versionOf(other) >= version && other.path.startsWith(versionPrefix(versionOf(other)))
}
