/** Parses the text of a document and checks everything that can be checked without the other documents. */
import type { ResourceName, RouteName, ServiceName } from '../common/Types.js'
import type { IDocumentParser } from './Services.js'
import type {
  IDocumentFault, ILimitResource, IPoolResource, IRetryResource, IRoute, IServiceDocument, ParseResult, Resource
} from './Types.js'
import {
  KNOWN_FORMAT, LIMIT_SECTION, MAXIMUM_DOCUMENT_BYTES, OBJECTIVE_SECTION, POOL_SECTION,
  RETRY_SECTION, ROUTE_SECTION, SERVICE_SECTION, STOP_SECTION
} from './DocumentSchema.js'
import { checkOwnReferences } from './OwnReferences.js'
import { excerpt } from '../common/IniLines.js'
import { IniSectionReader } from '../common/IniSectionReader.js'

/** Maximum number of faults listed for one document. */
const MAXIMUM_FAULTS = 200
const FORMAT_PATTERN = /^\d{1,9}$/

/** Works without a running node or store. Lists every fault, not only the first one. */
export class DocumentParser implements IDocumentParser {
  public parse (text: string): ParseResult {
    const textFault = checkText(text)
    if (textFault !== undefined) return { isValid: false, faults: [textFault] }
    return new DocumentReader(text).result()
  }
}

/** Refuses a text that is too large or not valid Unicode before it is parsed. */
function checkText (text: string): IDocumentFault | undefined {
  const bytes = Buffer.byteLength(text)
  if (bytes > MAXIMUM_DOCUMENT_BYTES) {
    return { section: '', key: '', message: `document has ${bytes} bytes; expected at most ${MAXIMUM_DOCUMENT_BYTES}` }
  }
  // A lone surrogate is replaced when the text is encoded as UTF-8, so the stored text would differ from the submitted one.
  if (Buffer.from(text).toString() !== text) return { section: '', key: '', message: 'text is not valid Unicode' }
  return undefined
}

/** Reads the sections of one text. */
class DocumentReader {
  private readonly _reader: IniSectionReader

  constructor (text: string) {
    this._reader = new IniSectionReader(text)
  }

  public result (): ParseResult {
    const formatFault = this._checkFormat()
    if (formatFault !== undefined) return { isValid: false, faults: [formatFault] }
    const document = this._readDocument()
    if (document === undefined || this._reader.faults.length > 0) return { isValid: false, faults: truncateFaults(this._reader.faults) }
    return { isValid: true, document }
  }

  /** A newer format is reported as the only fault, since this program may not know the other sections of that format. */
  private _checkFormat (): IDocumentFault | undefined {
    const format = this._reader.textOf('service', 'format') ?? ''
    if (!FORMAT_PATTERN.test(format) || Number(format) <= KNOWN_FORMAT) return undefined
    const message = `document has format ${Number(format)}; this program reads formats up to ${KNOWN_FORMAT}`
    return { section: 'service', key: 'format', message }
  }

  private _readDocument (): IServiceDocument | undefined {
    const service = this._reader.required('service', SERVICE_SECTION)
    const objective = this._reader.required('objective', OBJECTIVE_SECTION)
    const stop = this._reader.required('stop', STOP_SECTION)
    const resources: Resource[] = []
    const routes: IRoute[] = []
    for (const section of this._reader.names) this._readNamed(section, resources, routes)
    this._checkNames(resources)
    if (service !== undefined) this._checkReferences(service.name, routes)
    if (service === undefined || objective === undefined || stop === undefined) return undefined
    return Object.freeze({
      format: service.format,
      service: service.name,
      owner: service.owner,
      objective,
      resources,
      routes,
      stop: { drainGrace: stop['drain-grace'] }
    })
  }

  /** Reads a section `kind.name`, or adds a fault if its kind is unknown. */
  private _readNamed (section: string, resources: Resource[], routes: IRoute[]): void {
    if (section === 'service' || section === 'objective' || section === 'stop') return
    const [kind, name] = section.split('.')
    if (name === undefined) return this._addUnknownSection(section, kind)
    switch (kind) {
      case 'pool': return append(resources, this._readPool(section, name as ResourceName))
      case 'retry': return append(resources, this._readRetry(section, name as ResourceName))
      case 'limit': return append(resources, this._readLimit(section, name as ResourceName))
      case 'route': return append(routes, this._readRoute(section, name as RouteName))
      default: return this._addUnknownSection(section, kind)
    }
  }

  private _readPool (section: string, name: ResourceName): IPoolResource | undefined {
    const values = this._reader.required(section, POOL_SECTION)
    if (values === undefined) return undefined
    return {
      kind: 'pool',
      name,
      isExported: values.exported,
      slots: values.slots,
      connections: values.connections,
      queue: values.queue,
      queueTimeout: values['queue-timeout'],
      slowStart: values['slow-start'],
      balancing: values.balancing,
      spillAt: values['spill-at'],
      ejectionCeiling: values['ejection-ceiling'],
      healthPath: values['health-path'],
      healthInterval: values['health-interval']
    }
  }

  private _readRetry (section: string, name: ResourceName): IRetryResource | undefined {
    const values = this._reader.required(section, RETRY_SECTION)
    if (values === undefined) return undefined
    const { exported, attempts, budget, backoff } = values
    return { kind: 'retry', name, isExported: exported, attempts, budget, backoff, backoffLimit: values['backoff-limit'] }
  }

  private _readLimit (section: string, name: ResourceName): ILimitResource | undefined {
    const values = this._reader.required(section, LIMIT_SECTION)
    if (values === undefined) return undefined
    const { exported, rate } = values
    return { kind: 'limit', name, isExported: exported, requestBytes: values['request-bytes'], responseBytes: values['response-bytes'], rate }
  }

  private _readRoute (section: string, name: RouteName): IRoute | undefined {
    const values = this._reader.required(section, ROUTE_SECTION)
    return values === undefined ? undefined : { name, ...values }
  }

  private _checkReferences (service: ServiceName, routes: readonly IRoute[]): void {
    const faults = checkOwnReferences(service, routes, new Set(this._reader.names))
    for (const { section, key, message } of faults) this._reader.addFault(section, key, message)
  }

  /** References do not state the kind, so a name must be unique among all resources of a document. */
  private _checkNames (resources: readonly Resource[]): void {
    const kinds = new Map<ResourceName, string>()
    for (const { kind, name } of resources) {
      const other = kinds.get(name)
      if (other === undefined) kinds.set(name, kind)
      else this._reader.addFault(`${kind}.${name}`, '', `name is already used by [${other}.${name}]; expected a name that no other resource here has`)
    }
  }

  private _addUnknownSection (section: string, kind: string): void {
    const expected = '[service], [objective], [stop], [pool.NAME], [retry.NAME], [limit.NAME] or [route.NAME]'
    this._reader.addFault(section, '', `unknown section of kind ${excerpt(kind)}; expected ${expected}`)
  }
}

/** Adds an item unless it could not be read. */
function append<TItem> (items: TItem[], item: TItem | undefined): void {
  if (item !== undefined) items.push(item)
}

/** Limits the size of the response to a hostile text. */
function truncateFaults (faults: readonly IDocumentFault[]): readonly IDocumentFault[] {
  if (faults.length <= MAXIMUM_FAULTS) return faults
  const message = `${faults.length - MAXIMUM_FAULTS} further faults are not listed`
  return [...faults.slice(0, MAXIMUM_FAULTS), { section: '', key: '', message }]
}
