/** The proxy forwards ends and resets unchanged, and loses bytes only in the modes that do so. */
import { expect } from 'chai'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { LoopbackProxy } from './LoopbackProxy.js'

const HOST = '127.0.0.1'
const SILENCE_TIMEOUT_MS = 80

describe('LoopbackProxy', () => {
  let server: Server
  let proxy: LoopbackProxy
  let respond: (socket: Socket) => void

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => respond(socket))
    })
    await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
    proxy = new LoopbackProxy((server.address() as AddressInfo).port)
    await proxy.start()
  })

  afterEach(() => {
    proxy.stop()
    server.close()
  })

  /** Sends one byte; resolves with the received bytes and how the connection ended. */
  function exchange (timeout = SILENCE_TIMEOUT_MS): Promise<readonly [string, string]> {
    return new Promise((resolve) => {
      const socket = connect({ host: HOST, port: proxy.port })
      let received = ''
      const finish = (end: string): void => {
        clearTimeout(timer)
        socket.destroy()
        resolve([received, end])
      }
      const timer = setTimeout(() => finish('silent'), timeout)
      socket.on('data', (chunk) => { received += chunk.toString() })
      socket.on('error', () => finish('reset'))
      // A reset directly behind the last bytes is visible only at the next write.
      socket.on('end', () => socket.write(Buffer.alloc(0), (error) => finish(error == null ? 'ended' : 'reset')))
      socket.write('?')
    })
  }

  it('forwards a complete response with its end, and a response that is truncated by a reset', async () => {
    respond = (socket) => { socket.end('whole') }
    expect(await exchange()).to.deep.equal(['whole', 'ended'])
    respond = (socket) => { socket.write('half', () => socket.resetAndDestroy()) }
    expect((await exchange())[1]).to.equal('reset')
  })

  it('loses the bytes of the direction that is disturbed, resets connections while it refuses, and forwards new ones afterwards', async () => {
    let requestCount = 0
    respond = (socket) => {
      requestCount++
      socket.write('!')
    }
    proxy.switchTo('deaf-backwards')
    expect([await exchange(), requestCount]).to.deep.equal([['', 'silent'], 1])
    proxy.switchTo('deaf-forwards')
    expect([await exchange(), requestCount]).to.deep.equal([['', 'silent'], 1])
    proxy.switchTo('refusing')
    expect(await exchange()).to.deep.equal(['', 'reset'])
    proxy.switchTo('well')
    expect(await exchange()).to.deep.equal(['!', 'silent'])
  })

  it('keeps the order of bytes when a delay starts or ends', async () => {
    respond = (socket) => {
      proxy.switchTo('delayed')
      socket.write('a')
      setTimeout(() => {
        proxy.switchTo('well')
        socket.write('b')
      }, SILENCE_TIMEOUT_MS / 4)
    }
    expect((await exchange(SILENCE_TIMEOUT_MS * 4))[0]).to.equal('ab')
  })
})
