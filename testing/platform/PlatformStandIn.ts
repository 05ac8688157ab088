/** HTTP stand-in of a platform for tests and demonstrations: a server in front of the embedded stores, with configurable faults. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { ClockService } from '../../src/common/ClockService.js'
import { RandomService } from '../../src/common/RandomService.js'
import type { IService } from '../../src/common/Services.js'
import type { ObjectExpectation, ObjectKey, ObjectRevision } from '../../src/platform/Types.js'
import { OutcomeUnknownError } from '../../src/platform/PlatformErrors.js'
import { FaultyPlatform } from './FaultyPlatform.js'
import { PlatformFaults, type IPlatformFaultsOptions } from './PlatformFaults.js'

/** Options of the platform stand-in. */
export interface IPlatformStandInOptions extends IPlatformFaultsOptions {
  readonly host: string
  /** 0 selects a free port. */
  readonly port: number
}

const DEFAULT_SEED = 1

/** Defaults of `PlatformStandIn`. */
export const DEFAULT_PLATFORM_STAND_IN_OPTIONS = Object.freeze({ host: '127.0.0.1', port: 0 })

/** HTTP response of the stand-in. */
interface IStandInResponse {
  readonly status: number
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Uint8Array
}

const MAXIMUM_BODY_BYTES = 67_108_864
const BAD_REQUEST: IStandInResponse = { status: 400 }
const NOT_FOUND: IStandInResponse = { status: 404 }

/** Faults are configured with `faults` from the same process, and with `PUT /faults` from another one. */
export class PlatformStandIn implements IService {
  public readonly platform: FaultyPlatform
  private readonly _options: IPlatformStandInOptions
  private readonly _server: Server

  constructor (options: Partial<IPlatformStandInOptions> = {}) {
    const services = { clock: new ClockService(), random: new RandomService(DEFAULT_SEED) }
    this._options = { ...DEFAULT_PLATFORM_STAND_IN_OPTIONS, ...services, ...options }
    this.platform = new FaultyPlatform(this._options)
    this._server = createServer((request, response) => { this._serve(request, response).catch(() => response.destroy()) })
  }

  public get faults (): PlatformFaults {
    return this.platform.faults
  }

  /** Base URL of the server; available once the server has started. */
  public get url (): string {
    const { address, port } = this._server.address() as AddressInfo
    return `http://${address}:${port}`
  }

  public async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this._options.port, this._options.host, resolve)
    })
  }

  public async stop (): Promise<void> {
    this._server.closeAllConnections()
    await new Promise((resolve) => this._server.close(resolve))
  }

  private async _serve (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    try {
      const { status, headers, body: responseBody } = await this._handleRequest(request, body)
      response.writeHead(status, headers).end(responseBody)
    } catch (error) {
      // A lost response is simulated by closing the connection without a response.
      if (error instanceof OutcomeUnknownError) response.destroy()
      else response.writeHead(error instanceof SyntaxError ? 400 : 503).end()
    }
  }

  private async _handleRequest (request: IncomingMessage, body: Buffer): Promise<IStandInResponse> {
    const { pathname } = new URL(request.url ?? '/', 'http://stand-in')
    const [, area, ...rest] = pathname.split('/')
    switch (area) {
      case 'table': return await this._handleTableRequest(rest[0], body)
      case 'objects': return await this._handleObjectRequest(request, decodeURIComponent(rest.join('/')) as ObjectKey, body)
      case 'faults': return this._handleFaultsRequest(request, body)
      case 'counts': return this._handleCountsRequest(request)
      default: return NOT_FOUND
    }
  }

  private async _handleTableRequest (operation: string, body: Buffer): Promise<IStandInResponse> {
    const { table } = this.platform
    const argument = JSON.parse(body.toString())
    switch (operation) {
      case 'read': return json({ row: await table.read(argument) })
      case 'scan': return json({ rows: await table.scan(argument) })
      case 'transact': return json(await table.transact(argument))
      default: return NOT_FOUND
    }
  }

  private async _handleObjectRequest (request: IncomingMessage, key: ObjectKey, body: Buffer): Promise<IStandInResponse> {
    const { objects } = this.platform
    switch (request.method) {
      case 'GET': {
        const stored = await objects.get(key)
        return stored === undefined ? NOT_FOUND : { status: 200, headers: { etag: `"${stored.revision}"` }, body: stored.content }
      }
      case 'PUT': {
        const outcome = await objects.put(key, body, expectationOf(request))
        return outcome.isWritten ? { status: 200, headers: { etag: `"${outcome.revision}"` } } : { status: 412 }
      }
      case 'DELETE':
        await objects.delete(key)
        return { status: 204 }
      default: return BAD_REQUEST
    }
  }

  private _handleFaultsRequest (request: IncomingMessage, body: Buffer): IStandInResponse {
    if (request.method === 'PUT') this.faults.set(JSON.parse(body.toString()))
    if (request.method === 'DELETE') this.faults.clear()
    return json(this.faults.settings)
  }

  private _handleCountsRequest (request: IncomingMessage): IStandInResponse {
    const { counts } = this.faults
    if (request.method === 'DELETE') this.faults.resetCounts()
    return json(counts)
  }
}

function json (value: object): IStandInResponse {
  return { status: 200, headers: { 'content-type': 'application/json' }, body: JSON.stringify(value) }
}

function expectationOf (request: IncomingMessage): ObjectExpectation {
  if (request.headers['if-none-match'] === '*') return 'absent'
  const entityTag = request.headers['if-match']
  return entityTag === undefined ? 'any' : entityTag.replaceAll('"', '') as ObjectRevision
}

async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAXIMUM_BODY_BYTES) throw new RangeError('request body exceeds the maximum size')
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}
