/** The changes of references between documents that come with a new version, and the conditions under which they may be committed. */
import type { ServiceName } from '../common/Types.js'
import type { ITableService } from '../platform/Services.js'
import type { ICondition, IRow, IRowWrite } from '../platform/Types.js'
import { submissionFault } from './CheckedSubmission.js'
import { describeReference, routeReferences } from './RouteReferences.js'
import { exportsOf, isSameReference, referencesOf } from './store/DocumentRows.js'
import {
  DEPENDENTS_SCHEMA, DOCUMENT_ROW_SCHEMA, decodeRow, encodeRow, isSameResource,
  type IDependent, type IDocumentRow, type IReferenceEntry, type IResourceEntry
} from './store/Rows.js'
import { dependentsRow, documentRow } from './store/Tables.js'
import type { IDocumentFault, IServiceDocument } from './Types.js'

/**
 * A new reference is written into the dependents row of its target on condition that the target's document row
 * has not changed since it was read. The removal of an exported resource is committed on condition that the dependents
 * row has not changed since it was read. So of a new reference and a concurrent removal of its resource only one commits.
 * A reference that was accepted before needs no condition: its resource cannot be removed.
 */
export class ReferenceChanges {
  public readonly conditions: ICondition[] = []
  public readonly writes: IRowWrite[] = []
  public readonly faults: IDocumentFault[] = []

  private constructor (
    private readonly _table: ITableService,
    private readonly _service: ServiceName,
    private readonly _document: IServiceDocument | undefined
  ) {}

  /** Reads the rows that the change from `current` to `document` needs, in parallel. */
  public static async read (
    table: ITableService, service: ServiceName, current: IDocumentRow | undefined, document: IServiceDocument | undefined
  ): Promise<ReferenceChanges> {
    const changes = new ReferenceChanges(table, service, document)
    const before = current?.references ?? []
    const after = referencesOf(service, document)
    const targets = new Set([...before, ...after].map((reference) => reference.service))
    const tasks = [...targets].map((target) => changes._collectTarget(target, entriesOf(before, target), entriesOf(after, target)))
    await Promise.all([...tasks, changes._checkRemoved(current)])
    return changes
  }

  /** Collects the conditions, writes and faults for the changed references to one target service. */
  private async _collectTarget (target: ServiceName, before: IReferenceEntry[], after: IReferenceEntry[]): Promise<void> {
    const added = after.filter((entry) => !before.some((other) => isSameReference(other, entry)))
    const isDropped = before.some((entry) => !after.some((other) => isSameReference(other, entry)))
    if (added.length === 0 && !isDropped) return
    const [dependents] = await Promise.all([this._table.read(dependentsRow(target)), this._checkAdded(target, added)])
    this.conditions.push({ ...dependentsRow(target), expected: dependents?.revision ?? 'absent' })
    this.writes.push({ ...dependentsRow(target), value: this._encodeDependents(dependents, after) })
  }

  /** The row with the entry of this service replaced; undefined deletes the row when no entry is left. */
  private _encodeDependents (row: IRow | undefined, references: readonly IReferenceEntry[]): string | undefined {
    const others = readDependents(row).filter(({ service }) => service !== this._service)
    const resources = references.map(({ kind, resource }) => ({ kind, resource }))
    const dependents = resources.length === 0 ? others : [...others, { service: this._service, resources }]
    return dependents.length === 0 ? undefined : encodeRow(dependents, DEPENDENTS_SCHEMA)
  }

  private async _checkAdded (target: ServiceName, added: readonly IReferenceEntry[]): Promise<void> {
    if (added.length === 0) return
    const row = await this._table.read(documentRow(target))
    const provider = row === undefined ? undefined : decodeRow(row, DOCUMENT_ROW_SCHEMA)
    this.conditions.push({ ...documentRow(target), expected: row?.revision ?? 'absent' })
    for (const entry of added) {
      if (provider?.exports.some((other) => isSameResource(other, entry)) !== true) this._addMissingFaults(entry, describeTarget(provider))
    }
  }

  /** One fault for each route that makes the reference. */
  private _addMissingFaults (entry: IReferenceEntry, found: string): void {
    for (const required of routeReferences(this._document?.routes ?? [])) {
      if (!isSameReference({ kind: required.kind, ...required.reference }, entry)) continue
      this.faults.push({ section: `route.${required.route}`, key: required.key, message: `found no exported ${describeReference(required)}; ${found}` })
    }
  }

  /** Refuses the removal of resources that other documents refer to. */
  private async _checkRemoved (current: IDocumentRow | undefined): Promise<void> {
    const after = exportsOf(this._document)
    const removed = current?.exports.filter((entry) => !after.some((other) => isSameResource(other, entry))) ?? []
    if (removed.length === 0) return
    const row = await this._table.read(dependentsRow(this._service))
    this.conditions.push({ ...dependentsRow(this._service), expected: row?.revision ?? 'absent' })
    for (const entry of removed) this._addStillReferencedFault(entry, readDependents(row))
  }

  private _addStillReferencedFault (removed: IResourceEntry, dependents: readonly IDependent[]): void {
    const users = dependents.filter(({ resources }) => resources.some((other) => isSameResource(other, removed)))
    if (users.length === 0) return
    const names = users.map(({ service }) => service).sort().join(', ')
    const message = `exported ${removed.kind} ${this._service}/${removed.resource} is still needed by routes of ${names}`
    this.faults.push(this._document === undefined ? submissionFault(message) : { section: `${removed.kind}.${removed.resource}`, key: '', message })
  }
}

function entriesOf (references: readonly IReferenceEntry[], service: ServiceName): IReferenceEntry[] {
  return references.filter((reference) => reference.service === service)
}

function readDependents (row: IRow | undefined): readonly IDependent[] {
  return row === undefined ? [] : decodeRow(row, DEPENDENTS_SCHEMA)
}

function describeTarget (target: IDocumentRow | undefined): string {
  if (target === undefined) return 'no such service'
  return target.change.isTombstone ? 'the service is deleted' : 'the service does not export it'
}
