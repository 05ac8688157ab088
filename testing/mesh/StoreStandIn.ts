/** The users' metadata store, as their pages describe it, with faults to be switched on. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** How the store treats requests. */
export type StoreMode =
  | 'well'
  /** 503: nothing was done. */
  | 'busy'
  /** 429: nothing was done. */
  | 'many'
  | 'reset'
  /** Neither answers nor closes. */
  | 'silent'
  /** Sends its answers in parts, with pauses. */
  | 'slow-link'
  /** Sends the first part of its answers, and then nothing. */
  | 'stuck-link'
  /** Performs writes and loses their answers. */
  | 'lost'
  /** Loses answers and performs writes when `performLate` is called. */
  | 'late'

interface IStandInRow { readonly table: string, readonly key: string, readonly value?: string, readonly ver: number }
interface ITransactionBody {
  readonly expect?: ReadonlyArray<{ readonly table: string, readonly key: string, readonly ver: number }>
  readonly writes?: ReadonlyArray<{ readonly table: string, readonly key: string, readonly value: string }>
  readonly remove?: ReadonlyArray<{ readonly table: string, readonly key: string }>
}

const POLL_INTERVAL_MS = 5
const PARTS = 8
const PART_INTERVAL_MS = 30

/** What a reader gets in place of the text of a row. */
export type RowTranslation = (table: string, key: string, text: string) => string

/** Rows in one part, one counter of versions, a feed with a limited history. */
export class StoreStandIn {
  public mode: StoreMode = 'well'
  /** Added to each answer, in milliseconds. */
  public delay = 0
  /** Feeds from before this version get 410. */
  public historyFrom = 0
  /** Paths of the requests that came. */
  public readonly calls: string[] = []
  private readonly _rows = new Map<string, IStandInRow>()
  private readonly _late: ITransactionBody[] = []
  private readonly _server: Server
  private readonly _fronts: Server[] = []
  private _version = 0

  constructor () {
    this._server = this._createFront((_table, _key, text) => text)
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
    for (const server of [this._server, ...this._fronts]) {
      server.close()
      server.closeAllConnections()
    }
  }

  /** Opens a port of its own for one reader, which gets other texts than are stored. Gives the port. */
  public async openFront (translate: RowTranslation): Promise<number> {
    const front = this._createFront(translate)
    this._fronts.push(front)
    await new Promise<void>((resolve) => { front.listen(0, '127.0.0.1', resolve) })
    return (front.address() as AddressInfo).port
  }

  private _createFront (translate: RowTranslation): Server {
    return createServer((request, response) => { this._serve(request, response, translate).catch(() => response.destroy()) })
  }

  /** Number of transactions that came. */
  public get transactions (): number {
    return this.calls.filter((call) => call.includes('rows-tx')).length
  }

  /** Writes a row as the operator does. */
  public put (table: string, key: string, value: string): void {
    this._version++
    this._rows.set(`${table} ${key}`, { table, key, value: Buffer.from(value).toString('base64'), ver: this._version })
  }

  /** Text of a row; undefined if there is none. */
  public get (table: string, key: string): string | undefined {
    const value = this._rows.get(`${table} ${key}`)?.value
    return value === undefined ? undefined : Buffer.from(value, 'base64').toString()
  }

  /** Performs the writes whose answers were lost, as far as their conditions still hold. */
  public performLate (): void {
    for (const body of this._late.splice(0)) this._transact(body)
  }

  private async _serve (request: IncomingMessage, response: ServerResponse, translate: RowTranslation): Promise<void> {
    const url = new URL(request.url ?? '', 'http://store')
    this.calls.push(`${request.method ?? ''} ${url.pathname}`)
    const chunks: Buffer[] = []
    for await (const chunk of request) chunks.push(chunk as Buffer)
    if (this.delay > 0) await new Promise((resolve) => setTimeout(resolve, this.delay))
    if (this.mode === 'reset') request.socket.resetAndDestroy()
    if (this.mode === 'reset' || this.mode === 'silent') return
    if (this.mode === 'slow-link' || this.mode === 'stuck-link') this._slowDown(response)
    if (this.mode === 'busy') return write(response, 503, {})
    if (this.mode === 'many') return write(response, 429, {})
    if (url.pathname === '/api/rows-tx') return this._answerTransaction(JSON.parse(Buffer.concat(chunks).toString()) as ITransactionBody, request, response)
    if (url.pathname === '/api/rows-get') return this._answerGet(url, response, translate)
    if (url.pathname === '/api/rows-feed') return await this._answerFeed(url, response, translate)
    write(response, 404, {})
  }

  /** Replaces the end of a response by one that takes a while, or never comes. */
  private _slowDown (response: ServerResponse): void {
    const isStuck = this.mode === 'stuck-link'
    const end = response.end.bind(response)
    response.end = ((content: string): ServerResponse => {
      const part = Math.ceil(content.length / PARTS)
      const send = (from: number): void => {
        if (from >= content.length) {
          end()
          return
        }
        response.write(content.slice(from, from + part))
        if (!isStuck) setTimeout(() => send(from + part), PART_INTERVAL_MS)
      }
      send(0)
      return response
    }) as ServerResponse['end']
  }

  private _answerTransaction (body: ITransactionBody, request: IncomingMessage, response: ServerResponse): void {
    if (this.mode === 'late') {
      this._late.push(body)
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
    const present = expected.flatMap(({ table, key }) => this._rows.get(`${table} ${key}`) ?? [])
    const holds = expected.every(({ table, key, ver }) => {
      const row = this._rows.get(`${table} ${key}`)
      return (row?.value === undefined ? 0 : row.ver) === ver
    })
    if (!holds) return present.filter((row) => row.value !== undefined)
    this._version++
    for (const { table, key, value } of body.writes ?? []) this._rows.set(`${table} ${key}`, { table, key, value, ver: this._version })
    for (const { table, key } of body.remove ?? []) this._rows.set(`${table} ${key}`, { table, key, ver: this._version })
    return undefined
  }

  private _answerGet (url: URL, response: ServerResponse, translate: RowTranslation): void {
    const from = url.searchParams.get('from') ?? ''
    const to = url.searchParams.get('to')
    const limit = Number(url.searchParams.get('limit') ?? 500)
    const table = url.searchParams.get('table')
    const rows = [...this._rows.values()]
      .filter((row) => row.table === table && row.value !== undefined && row.key >= from && (to === null || row.key < to))
      .sort((left, right) => left.key < right.key ? -1 : 1)
    const page = rows.slice(0, limit).map((row) => translated(row, translate))
    write(response, 200, { rows: page, hasMore: rows.length > limit, ver: this._version, nowMs: 0 })
  }

  private async _answerFeed (url: URL, response: ServerResponse, translate: RowTranslation): Promise<void> {
    const after = Number(url.searchParams.get('after'))
    if (after < this.historyFrom) return write(response, 410, {})
    const until = Date.now() + Number(url.searchParams.get('waitMs') ?? 0)
    for (;;) {
      const rows = [...this._rows.values()].filter((row) => row.table === url.searchParams.get('table') && row.ver > after)
      if (rows.length > 0 || Date.now() >= until || this.mode !== 'well') {
        const ordered = rows.sort((left, right) => left.ver - right.ver)
        const changed = ordered.map((row) => row.value === undefined ? { ...row, removed: true } : translated(row, translate))
        return write(response, 200, { rows: changed, ver: this._version, nowMs: 0 })
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
    }
  }
}

function translated (row: IStandInRow, translate: RowTranslation): IStandInRow {
  const text = Buffer.from(row.value ?? '', 'base64').toString()
  return { ...row, value: Buffer.from(translate(row.table, row.key, text)).toString('base64') }
}

function write (response: ServerResponse, status: number, body: object): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
