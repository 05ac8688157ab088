/** Stand-in of the platform's metadata store: rows-tx, rows-get and rows-feed over one partition. It has no faults. */
import { createServer } from 'node:http'

const POLL_INTERVAL_MS = 5
const MAXIMUM_ROWS = 500

export class Store {
  constructor () {
    this._rows = new Map()
    this._version = 0
    this._server = createServer((request, response) => { this._serve(request, response).catch(() => response.destroy()) })
  }

  get address () {
    return `127.0.0.1:${this._server.address().port}`
  }

  start () {
    return new Promise((resolve) => { this._server.listen(0, '127.0.0.1', resolve) })
  }

  stop () {
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Writes a row unconditionally, as the operator does. */
  put (table, key, text) {
    this._version++
    this._rows.set(`${table} ${key}`, { table, part: '', key, value: Buffer.from(text).toString('base64'), ver: this._version })
  }

  /** Text of a row; undefined if there is none. */
  get (table, key) {
    const value = this._rows.get(`${table} ${key}`)?.value
    return value === undefined ? undefined : Buffer.from(value, 'base64').toString()
  }

  async _serve (request, response) {
    const url = new URL(request.url, 'http://store')
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    switch (url.pathname) {
      case '/api/rows-tx': return this._transact(JSON.parse(Buffer.concat(chunks).toString()), response)
      case '/api/rows-get': return this._read(url.searchParams, response)
      case '/api/rows-feed': return await this._feed(url.searchParams, response)
      default: return write(response, 404, {})
    }
  }

  _transact ({ expect = [], writes = [], remove = [] }, response) {
    const current = expect.flatMap(({ table, key }) => this._rows.get(`${table} ${key}`) ?? [])
    const isMet = expect.every(({ table, key, ver }) => {
      const row = this._rows.get(`${table} ${key}`)
      return (row?.value === undefined ? 0 : row.ver) === ver
    })
    if (!isMet) return write(response, 412, { rows: current.filter(({ value }) => value !== undefined), ver: this._version, nowMs: now() })
    this._version++
    for (const { table, key, value } of writes) this._rows.set(`${table} ${key}`, { table, part: '', key, value, ver: this._version })
    for (const { table, key } of remove) this._rows.set(`${table} ${key}`, { table, part: '', key, removed: true, ver: this._version })
    write(response, 200, { ver: this._version, nowMs: now() })
  }

  _read (query, response) {
    const from = query.get('from') ?? ''
    const to = query.get('to')
    const limit = Math.min(MAXIMUM_ROWS, Number(query.get('limit') ?? MAXIMUM_ROWS))
    const rows = this._table(query.get('table'))
      .filter(({ key, value }) => value !== undefined && key >= from && (to === null || key < to))
      .sort((left, right) => left.key < right.key ? -1 : 1)
    write(response, 200, { rows: rows.slice(0, limit), hasMore: rows.length > limit, ver: this._version, nowMs: now() })
  }

  async _feed (query, response) {
    const after = Number(query.get('after'))
    const deadline = now() + Number(query.get('waitMs') ?? 0)
    for (;;) {
      const rows = this._table(query.get('table')).filter(({ ver }) => ver > after)
      if (rows.length > 0 || now() >= deadline) {
        rows.sort((left, right) => left.ver - right.ver)
        return write(response, 200, { rows, ver: this._version, nowMs: now() })
      }
      await new Promise((resolve) => { setTimeout(resolve, POLL_INTERVAL_MS) })
    }
  }

  _table (name) {
    return [...this._rows.values()].filter(({ table }) => table === name)
  }
}

function now () {
  return Math.round(performance.now())
}

function write (response, status, body) {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
