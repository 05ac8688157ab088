/** Stand-in of the platform's metadata store, after its specification, with switchable faults. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** How the store treats requests. */
export type StoreMode =
  | 'well'
  /** Responds with 503 without performing the request. */
  | 'busy'
  /** Responds with 429 without performing the request. */
  | 'many'
  | 'reset'
  /** Neither responds nor closes the connection. */
  | 'silent'
  /** Sends its responses in chunks, with pauses. */
  | 'slow-link'
  /** Sends only the first chunk of its responses. */
  | 'stuck-link'
  /** Performs writes and drops their responses. */
  | 'lost'
  /** Drops the responses of writes, and performs the writes when `performLate` is called. */
  | 'late'

interface IStandInRow { readonly table: string, readonly key: string, readonly value?: string, readonly ver: number }
interface ITransactionBody {
  readonly expect?: ReadonlyArray<{ readonly table: string, readonly key: string, readonly ver: number }>
  readonly writes?: ReadonlyArray<{ readonly table: string, readonly key: string, readonly value: string }>
  readonly remove?: ReadonlyArray<{ readonly table: string, readonly key: string }>
}

const POLL_INTERVAL_MS = 5
const CHUNK_COUNT = 8
const CHUNK_INTERVAL_MS = 30

/** Replaces the text of a row for one reader. */
export type RowTranslation = (table: string, key: string, text: string) => string

/** One partition of rows with a single version counter and a change feed of limited history. */
export class StoreStandIn {
  public mode: StoreMode = 'well'
  /** Delay of each response, in milliseconds. */
  public delay = 0
  /** Feed requests from before this version get 410. */
  public historyFrom = 0
  /** Methods and paths of the received requests. */
  public readonly calls: string[] = []
  private readonly _rows = new Map<string, IStandInRow>()
  private readonly _delayedWrites: ITransactionBody[] = []
  private readonly _server: Server
  private readonly _readerServers: Server[] = []
  private _version = 0

  constructor () {
    this._server = this._createServer((_table, _key, text) => text)
  }

  /** `host:port`. */
  public get address (): string {
    const { address, port } = this._server.address() as AddressInfo
    return `${address}:${port}`
  }

  public get version (): number {
    return this._version
  }

  public start (): Promise<void> {
    return new Promise((resolve) => { this._server.listen(0, '127.0.0.1', resolve) })
  }

  public stop (): void {
    for (const server of [this._server, ...this._readerServers]) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Opens a separate port for one reader, whose rows `translate` replaces. Resolves with the port. */
  public async openReaderPort (translate: RowTranslation): Promise<number> {
    const server = this._createServer(translate)
    this._readerServers.push(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return (server.address() as AddressInfo).port
  }

  private _createServer (translate: RowTranslation): Server {
    return createServer((request, response) => { this._serve(request, response, translate).catch(() => response.destroy()) })
  }

  /** Number of received transactions. */
  public get transactions (): number {
    return this.calls.filter((call) => call.includes('rows-tx')).length
  }

  /** Writes a row unconditionally, as the operator does. */
  public put (table: string, key: string, value: string): void {
    this._version++
    this._rows.set(`${table} ${key}`, { table, key, value: Buffer.from(value).toString('base64'), ver: this._version })
  }

  /** Deletes a row unconditionally. */
  public remove (table: string, key: string): void {
    this._version++
    this._rows.set(`${table} ${key}`, { table, key, ver: this._version })
  }

  /** Text of a row; undefined if there is none. */
  public get (table: string, key: string): string | undefined {
    const value = this._rows.get(`${table} ${key}`)?.value
    return value === undefined ? undefined : Buffer.from(value, 'base64').toString()
  }

  /** Performs the writes that mode `late` has postponed, if their conditions are still met. */
  public performDelayedWrites (): void {
    for (const body of this._delayedWrites.splice(0)) this._transact(body)
  }

  private async _serve (request: IncomingMessage, response: ServerResponse, translate: RowTranslation): Promise<void> {
    const url = new URL(request.url ?? '', 'http://store')
    this.calls.push(`${request.method ?? ''} ${url.pathname}`)
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (this.delay > 0) await new Promise((resolve) => setTimeout(resolve, this.delay))
    if (this.mode === 'reset') request.socket.resetAndDestroy()
    if (this.mode === 'reset' || this.mode === 'silent') return
    if (this.mode === 'slow-link' || this.mode === 'stuck-link') this._throttleResponse(response)
    if (this.mode === 'busy') return write(response, 503, {})
    if (this.mode === 'many') return write(response, 429, {})
    if (url.pathname === '/api/rows-tx') return this._respondToTransaction(JSON.parse(Buffer.concat(chunks).toString()) as ITransactionBody, request, response)
    if (url.pathname === '/api/rows-get') return this._respondToGet(url, response, translate)
    if (url.pathname === '/api/rows-feed') return await this._respondToFeed(url, response, translate)
    write(response, 404, {})
  }

  /** Makes the response send its content in delayed chunks, or only the first of them. */
  private _throttleResponse (response: ServerResponse): void {
    const isStuck = this.mode === 'stuck-link'
    const end = response.end.bind(response)
    response.end = ((content: string): ServerResponse => {
      const chunkLength = Math.ceil(content.length / CHUNK_COUNT)
      const send = (from: number): void => {
        if (from >= content.length) {
          end()
          return
        }
        response.write(content.slice(from, from + chunkLength))
        if (!isStuck) setTimeout(() => send(from + chunkLength), CHUNK_INTERVAL_MS)
      }
      send(0)
      return response
    }) as ServerResponse['end']
  }

  private _respondToTransaction (body: ITransactionBody, request: IncomingMessage, response: ServerResponse): void {
    if (this.mode === 'late') {
      this._delayedWrites.push(body)
      request.socket.destroy()
      return
    }
    const conflict = this._transact(body)
    if (this.mode === 'lost') request.socket.destroy()
    else if (conflict === undefined) write(response, 200, { ver: this._version, nowMs: 0 })
    else write(response, 412, { rows: conflict, ver: this._version, nowMs: 0 })
  }

  private _transact (body: ITransactionBody): IStandInRow[] | undefined {
    const expected = body.expect ?? []
    const currentRows = expected.flatMap(({ table, key }) => this._rows.get(`${table} ${key}`) ?? [])
    const areConditionsMet = expected.every(({ table, key, ver }) => {
      const row = this._rows.get(`${table} ${key}`)
      return (row?.value === undefined ? 0 : row.ver) === ver
    })
    if (!areConditionsMet) return currentRows.filter((row) => row.value !== undefined)
    this._version++
    for (const { table, key, value } of body.writes ?? []) this._rows.set(`${table} ${key}`, { table, key, value, ver: this._version })
    for (const { table, key } of body.remove ?? []) this._rows.set(`${table} ${key}`, { table, key, ver: this._version })
    return undefined
  }

  private _respondToGet (url: URL, response: ServerResponse, translate: RowTranslation): void {
    const from = url.searchParams.get('from') ?? ''
    const to = url.searchParams.get('to')
    const limit = Number(url.searchParams.get('limit') ?? 500)
    const table = url.searchParams.get('table')
    const rows = [...this._rows.values()]
      .filter((row) => row.table === table && row.value !== undefined && row.key >= from && (to === null || row.key < to))
      .sort((left, right) => left.key < right.key ? -1 : 1)
    const page = rows.slice(0, limit).map((row) => translateRow(row, translate))
    write(response, 200, { rows: page, hasMore: rows.length > limit, ver: this._version, nowMs: 0 })
  }

  private async _respondToFeed (url: URL, response: ServerResponse, translate: RowTranslation): Promise<void> {
    const after = Number(url.searchParams.get('after'))
    if (after < this.historyFrom) return write(response, 410, {})
    const deadline = Date.now() + Number(url.searchParams.get('waitMs') ?? 0)
    for (;;) {
      const rows = [...this._rows.values()].filter((row) => row.table === url.searchParams.get('table') && row.ver > after)
      if (rows.length > 0 || Date.now() >= deadline || this.mode !== 'well') {
        const ordered = rows.sort((left, right) => left.ver - right.ver)
        const changed = ordered.map((row) => row.value === undefined ? { ...row, removed: true } : translateRow(row, translate))
        return write(response, 200, { rows: changed, ver: this._version, nowMs: 0 })
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
  }
}

function translateRow (row: IStandInRow, translate: RowTranslation): IStandInRow {
  const text = Buffer.from(row.value ?? '', 'base64').toString()
  return { ...row, value: Buffer.from(translate(row.table, row.key, text)).toString('base64') }
}

function write (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
