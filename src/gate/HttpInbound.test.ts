/** Detection of disconnected senders. */
import { expect } from 'chai'
import { once } from 'node:events'
import { createServer, type Server } from 'node:http'
import { connect, type AddressInfo } from 'node:net'
import { HttpInbound } from './HttpInbound.js'

describe('HttpInbound', () => {
  let server: Server

  beforeEach(async () => {
    server = createServer()
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    server.close()
    server.closeAllConnections()
  })

  /** A request whose sender has disconnected. */
  async function createDisconnectedInbound (): Promise<HttpInbound> {
    const inbound = new Promise<HttpInbound>((resolve) => {
      server.once('request', (message, response) => {
        response.once('close', () => resolve(created))
        const created = new HttpInbound(message, response)
        sender.destroy()
      })
    })
    const sender = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sender.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n')
    return await inbound
  }

  it('notifies a listener that subscribes after the sender has disconnected', async () => {
    const inbound = await createDisconnectedInbound()
    let cancellations = 0
    inbound.onCancelled(() => { cancellations++ })
    await new Promise((resolve) => setImmediate(resolve))
    expect([inbound.isCancelled, cancellations]).to.deep.equal([true, 1])
  })

  it('notifies every pipelined request when the sender disconnects, including one whose response is still queued', async () => {
    const cancelledPaths: string[] = []
    const bothCancelled = new Promise<void>((resolve) => {
      server.on('request', (message, response) => {
        new HttpInbound(message, response).onCancelled(() => {
          cancelledPaths.push(message.url ?? '')
          if (cancelledPaths.length === 2) resolve()
        })
        if (message.url === '/second') sender.destroy()
      })
    })
    const sender = connect((server.address() as AddressInfo).port, '127.0.0.1')
    sender.write('GET /first HTTP/1.1\r\nhost: a\r\n\r\nGET /second HTTP/1.1\r\nhost: a\r\n\r\n')
    await bothCancelled
    expect(cancelledPaths).to.have.members(['/first', '/second'])
  })
})
