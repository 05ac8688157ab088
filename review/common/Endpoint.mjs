/** Stand-in of an application endpoint. It follows the platform's pages; faults are set per response by `script`. */
import { createServer, request as sendRequest } from 'node:http'

const HEARTBEAT_MS = 1_500
const ACKNOWLEDGEMENT_TIMEOUT_MS = 1_000

export class Endpoint {
  /** `onRun(run)` is called when the execution of a request starts. */
  constructor ({ id, service, slots = 9, workMs = 20, record, onRun = () => undefined }) {
    Object.assign(this, { id, service, slots, workMs, onRun, record })
    this.born = 0
    this.port = 0
    this.runs = []
    this.script = undefined
    this._sequence = 0
    this._sockets = new Set()
    this._timer = undefined
    this._running = 0
    this._queue = []
  }

  get address () {
    return `127.0.0.1:${this.port}`
  }

  /** Starts an incarnation: on the port of the earlier one, if there was one. `born`: Unix milliseconds of its start. */
  async start (born = Date.now()) {
    this.born = born
    this._sequence = 0
    this._running = 0
    this._queue = []
    this.isDraining = false
    this._server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      this._serve(request, response).catch(() => response.destroy())
    })
    this._server.on('connection', (socket) => {
      this._sockets.add(socket)
      socket.on('error', () => undefined)
      socket.once('close', () => this._sockets.delete(socket))
    })
    await new Promise((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this.port, '127.0.0.1', resolve)
    })
    this.port = this._server.address().port
    this.record(`endpoint ${this.id} of ${this.service} started at ${this.address}, born ${this.born}`)
  }

  /** Ends at once, as after a crash: every connection is reset and nothing is sent. */
  crash () {
    this.stopHeartbeats()
    this._server.close()
    for (const socket of this._sockets) socket.resetAndDestroy()
    this._sockets.clear()
    this.record(`endpoint ${this.id} born ${this.born} crashed`)
  }

  /** Ends in an orderly way. */
  exit () {
    this.stopHeartbeats()
    this._server?.close()
    this._server?.closeAllConnections()
    this.record(`endpoint ${this.id} born ${this.born} exited`)
  }

  /** `send(path, body)` delivers a call to the control address of the endpoint's machine. */
  startHeartbeats (send) {
    const beat = () => { this.heartbeat(send).catch(() => undefined) }
    beat()
    this._timer = setInterval(beat, HEARTBEAT_MS)
  }

  stopHeartbeats () {
    clearInterval(this._timer)
  }

  /** Resolves with the status of the acknowledgement; 0 if there was none. */
  heartbeat (send) {
    return send(`/api/instances/${this.id}/heartbeat`, this._body())
  }

  /** Deregisters as an endpoint does that never reports `draining`. */
  deregister (send) {
    return send(`/api/instances/${this.id}/deregister`, JSON.stringify({ born: this.born }))
  }

  _body () {
    return JSON.stringify({
      address: this.address,
      born: this.born,
      nodeInfo: { service: this.service, version: 'v1', zone: 'z', slots: this.slots },
      status: { state: this.isDraining ? 'draining' : 'ready', sequence: ++this._sequence, coldLeftMs: 0 }
    })
  }

  async _serve (request, response) {
    const { headers, method, url, socket } = request
    const id = headers['x-savoryknot-attempt-id']
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const echo = id === undefined ? {} : { 'x-savoryknot-attempt-id': id }
    const expected = headers['x-savoryknot-expect-instance']
    if (url === '/health') return end(response, this.isDraining ? 503 : 200, { 'x-savoryknot-instance-id': this.id }, '')
    if (id === undefined) return end(response, 400, { 'x-savoryknot-not-executed': '1' }, '')
    if (expected !== undefined && expected !== this.id) {
      this.record(`endpoint ${this.id} answers 421 to ${id}, which expects ${expected}`)
      return end(response, 421, { ...echo, 'x-savoryknot-not-executed': '1' }, '')
    }
    if (this._running >= this.slots) await new Promise((resolve) => { this._queue.push(resolve) })
    if (socket.destroyed) return this._queue.shift()?.()
    this._running++
    const run = {
      id,
      method,
      path: url,
      body: Buffer.concat(chunks),
      at: performance.now(),
      born: this.born,
      endpoint: this.id,
      caller: headers['x-savoryknot-caller-service'],
      deadlineMs: Number(headers['x-savoryknot-deadline-ms'])
    }
    this.runs.push(run)
    this.record(`endpoint ${this.id} born ${this.born} runs ${id} ${method} ${url}`)
    this.onRun(run)
    await new Promise((resolve) => { setTimeout(resolve, this.workMs) })
    this._running--
    this._queue.shift()?.()
    const signed = { ...echo, 'x-savoryknot-response-signature': `${this.id}.${run.born}` }
    if (this.script !== undefined) return this.script({ request, response, socket, run, signed })
    end(response, 200, signed, `answer of ${this.id} to ${id}`)
  }
}

/** Returns the function that posts to a control address; it resolves with the status, 0 if there was no answer within a second. */
export function poster (port, record) {
  return (path, body) => new Promise((resolve) => {
    const request = sendRequest({ host: '127.0.0.1', port, method: 'POST', path, headers: { 'content-type': 'application/json' }, agent: false })
    const timer = setTimeout(() => request.destroy(), ACKNOWLEDGEMENT_TIMEOUT_MS)
    const finish = (status) => {
      clearTimeout(timer)
      record(`POST ${path} ${body} -> ${status}`)
      resolve(status)
    }
    request.once('response', (response) => {
      response.resume()
      response.once('end', () => finish(response.statusCode))
    })
    request.on('error', () => finish(0))
    request.end(body)
  })
}

export function headerLines (fields) {
  return Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')
}

function end (response, status, fields, body) {
  response.writeHead(status, { ...fields, 'content-length': String(Buffer.byteLength(body)) })
  response.end(body)
}
