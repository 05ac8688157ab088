/** Clients that wait for the responses to requests that arrive while the event loop of this process is blocked. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { requestText, type IUnreadRequest } from './UnreadRequests.js'

/** Sends each text on a connection of its own, and posts the bytes received on each until it closed. */
const CLIENTS = `
const { connect } = require('node:net')
const { parentPort, workerData } = require('node:worker_threads')
const { port, texts, sent } = workerData
const received = texts.map(() => '')
let open = texts.length
texts.forEach((text, index) => {
  const socket = connect(port, '127.0.0.1', () => socket.write(text, () => {
    Atomics.add(sent, 0, 1)
    Atomics.notify(sent, 0)
  }))
  socket.setEncoding('latin1').on('data', (part) => { received[index] += part }).on('error', () => undefined)
  socket.once('close', () => { if (--open === 0) parentPort.postMessage(received) })
})
`
const MAXIMUM_WAIT_MS = 10_000

/** Returns once the kernel has accepted all requests; none has been read by then. Resolves with the bytes received by each client. */
export function sendAndWait (port: number, requests: readonly IUnreadRequest[]): Promise<readonly string[]> {
  const sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  const clients = new Worker(CLIENTS, { eval: true, execArgv: [], workerData: { port, texts: requests.map(requestText), sent } })
  const received = once(clients, 'message').then(([texts]) => texts as readonly string[])
  for (let sentCount = 0; sentCount < requests.length; sentCount = Atomics.load(sent, 0)) {
    if (Atomics.wait(sent, 0, sentCount, MAXIMUM_WAIT_MS) === 'timed-out') throw new Error(`only ${sentCount} of ${requests.length} requests were sent`)
  }
  return received
}
