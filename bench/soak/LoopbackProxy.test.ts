/** The link passes on ends and resets as they are, and loses bytes only where it is told to. */
import { expect } from 'chai'
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { LoopbackProxy } from './LoopbackProxy.js'

const HOST = '127.0.0.1'
const SILENCE_MS = 80

describe('LoopbackProxy', () => {
  let server: Server
  let proxy: LoopbackProxy
  let answer: (socket: Socket) => void

  beforeEach(async () => {
    server = createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => answer(socket))
    })
    await new Promise<void>((resolve) => { server.listen(0, HOST, resolve) })
    proxy = new LoopbackProxy((server.address() as AddressInfo).port)
    await proxy.start()
  })

  afterEach(() => {
    proxy.stop()
    server.close()
  })

  /** What a client gets that sends one byte: the bytes, and how it ended. */
  function ask (patience = SILENCE_MS): Promise<readonly [string, string]> {
    return new Promise((resolve) => {
      const socket = connect({ host: HOST, port: proxy.port })
      let received = ''
      const finish = (end: string): void => {
        clearTimeout(timer)
        socket.destroy()
        resolve([received, end])
      }
      const timer = setTimeout(() => finish('silent'), patience)
      socket.on('data', (part) => { received += part.toString() })
      socket.on('error', () => finish('reset'))
      // A reset right behind the last bytes shows at the next write only.
      socket.on('end', () => socket.write(Buffer.alloc(0), (error) => finish(error == null ? 'ended' : 'reset')))
      socket.write('?')
    })
  }

  it('passes on a whole answer and its end, and an answer that is cut by a reset', async () => {
    answer = (socket) => { socket.end('whole') }
    expect(await ask()).to.deep.equal(['whole', 'ended'])
    answer = (socket) => { socket.write('half', () => socket.resetAndDestroy()) }
    expect((await ask())[1]).to.equal('reset')
  })

  it('loses one way or both, for good on a connection that lost bytes, and refuses', async () => {
    let heard = 0
    answer = (socket) => {
      heard++
      socket.write('!')
    }
    proxy.switchTo('deaf-backwards')
    expect([await ask(), heard]).to.deep.equal([['', 'silent'], 1])
    proxy.switchTo('deaf-forwards')
    expect([await ask(), heard]).to.deep.equal([['', 'silent'], 1])
    proxy.switchTo('refusing')
    expect(await ask()).to.deep.equal(['', 'reset'])
    proxy.switchTo('well')
    expect(await ask()).to.deep.equal(['!', 'silent'])
  })

  it('keeps the order of bytes when a delay begins or ends', async () => {
    answer = (socket) => {
      proxy.switchTo('delayed')
      socket.write('a')
      setTimeout(() => {
        proxy.switchTo('well')
        socket.write('b')
      }, SILENCE_MS / 4)
    }
    expect((await ask(SILENCE_MS * 4))[0]).to.equal('ab')
  })
})
