/** Clients whose requests lie unread while the loop of this process stands still, and that wait for their answers. */
import { once } from 'node:events'
import { Worker } from 'node:worker_threads'
import { requestText, type IUnreadRequest } from './UnreadRequests.js'

/** Sends each text on a connection of its own, and tells what came on each until it closed. */
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
const LONGEST_WAIT_MS = 10_000

/** Returns when the system has taken all requests. Nothing of them has been read by then. Gives what each client received. */
export function sendAndWait (port: number, requests: readonly IUnreadRequest[]): Promise<readonly string[]> {
  const sent = new Int32Array(new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT))
  const clients = new Worker(CLIENTS, { eval: true, execArgv: [], workerData: { port, texts: requests.map(requestText), sent } })
  const received = once(clients, 'message').then(([texts]) => texts as readonly string[])
  for (let taken = 0; taken < requests.length; taken = Atomics.load(sent, 0)) {
    if (Atomics.wait(sent, 0, taken, LONGEST_WAIT_MS) === 'timed-out') throw new Error(`only ${taken} of ${requests.length} requests were sent`)
  }
  return received
}
