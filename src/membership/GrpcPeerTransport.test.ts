/** gRPC streams over real sockets: message order, size limits, malformed bytes, backpressure and close. */
import { Client, credentials } from '@grpc/grpc-js'
import { expect } from 'chai'
import { connect as connectSocket, createServer, type AddressInfo } from 'node:net'
import { Http2Frames } from '../../testing/membership/Http2Frames.js'
import { MAXIMUM_HEAP_GROWTH_BYTES, SMALL_CHUNKS } from '../../testing/SmallChunks.js'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { ClockService } from '../common/ClockService.js'
import { splitAddress } from '../common/HostPort.js'
import { MetricsService } from '../common/MetricsService.js'
import { GrpcPeerTransport, type GrpcPeerTransportOptions } from './GrpcPeerTransport.js'
import { encodePeerMessage, exchangeDefinition } from './PeerCodec.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import type { ReceivedPeerMessage } from '../generated/savoryknot/PeerMessage.js'
import type { IPeerChannel } from './Services.js'

/** Compression flag and length of a gRPC message. */
const GRPC_HEAD_BYTES = 5
const LOOPBACK = '127.0.0.1:0' as NetworkAddress

describe('GrpcPeerTransport', () => {
  const transports: GrpcPeerTransport[] = []
  const log = new RecordingLog()

  function create (options: Partial<GrpcPeerTransportOptions> = {}): GrpcPeerTransport {
    const required = { address: LOOPBACK, clock: new ClockService(), log, metrics: new MetricsService() }
    const transport = new GrpcPeerTransport({ ...required, ...options })
    transports.push(transport)
    return transport
  }

  /** Opens a stream and returns both ends. */
  async function connect (options: Partial<GrpcPeerTransportOptions> = {}): Promise<{ near: IPeerChannel, far: IPeerChannel }> {
    const server = create(options)
    const address = await server.bind()
    const accepted = new Promise<IPeerChannel>((resolve, reject) => { server.listen(resolve).catch(reject) })
    const near = await create(options).dial(address)
    near.send({ ping: { number: 0 } })
    return { near, far: await accepted }
  }

  afterEach(async () => {
    await Promise.all(transports.splice(0).map((transport) => transport.close()))
    log.events.length = 0
  })

  it('carries messages both ways in order and closes both ends', async () => {
    const { near, far } = await connect()
    const closed = new Promise<void>((resolve) => { near.onClosed(resolve) })
    const received: number[] = []
    const all = new Promise<void>((resolve) => near.onMessage((message) => {
      received.push(message.ping?.number ?? -1)
      if (received.length === 50) resolve()
    }))
    for (let number = 0; number < 50; number++) far.send({ ping: { number } })
    far.dispose()
    await all
    await closed
    expect(received).to.deep.equal([...received].sort((first, second) => first - second))
    expect(near.send({ ping: { number: 1 } })).to.equal(false)
  })

  it('closes the stream of a peer that sends bytes that cannot be decoded', async () => {
    const server = create()
    const address = await server.bind()
    const closed = new Promise<void>((resolve, reject) => { server.listen((channel) => channel.onClosed(resolve)).catch(reject) })
    const client = new Client(address, credentials.createInsecure())
    const pass = (bytes: Buffer): Buffer => bytes
    const stream = client.makeBidiStreamRequest<Buffer, Buffer>(exchangeDefinition().path, pass, pass)
    stream.on('error', () => {})
    stream.write(Buffer.from([0x0a, 0xff, 0xff, 0xff, 0xff]))
    await closed
    client.close()
    expect(log.events.map((event) => event.name)).to.deep.equal(['peer-message-invalid'])
  })

  it('ignores a message of an unknown kind, as a newer peer may send it', async () => {
    const { near, far } = await connect()
    const next = new Promise<ReceivedPeerMessage>((resolve) => { far.onMessage(resolve) })
    const bytes = Buffer.from([0xfa, 0x07, 0x03, 0x01, 0x02, 0x03])
    ;(near as unknown as { _options: { stream: { write (bytes: Buffer): void } } })._options.stream.write(bytes)
    near.send({ pong: { number: 9 } })
    const message = await next
    expect(message.kind === 'ping' ? 9 : message.pong?.number).to.equal(9)
  })

  it('closes the stream on a message over the size limit', async () => {
    const { near, far } = await connect({ maximumMessageBytes: 1_000 })
    const closed = new Promise<void>((resolve) => { far.onClosed(resolve) })
    near.send({ broadcast: { payload: Buffer.alloc(5_000) } })
    await closed
  })

  it('drops messages and logs it once while the peer does not read', async () => {
    const { near } = await connect({ sendBufferBytes: 100_000 })
    const outcomes = Array.from({ length: 40 }, () => near.send({ broadcast: { payload: Buffer.alloc(10_000) } }))
    expect(outcomes[0]).to.equal(true)
    expect(outcomes.at(-1)).to.equal(false)
    expect(log.events.filter((event) => event.name === 'peer-send-buffer-full')).to.have.length(1)
  })

  it('closes within its grace period while a connected peer is unresponsive, as in a network partition', async () => {
    const server = create()
    const [host, port] = (await server.bind()).split(':')
    const accepted = new Promise<IPeerChannel>((resolve, reject) => { server.listen(resolve).catch(reject) })
    let isPartitioned = false
    const proxy = createServer((near) => {
      const far = connectSocket(Number(port), host)
      for (const [from, to] of [[near, far], [far, near]] as const) {
        from.on('data', (chunk) => { if (!isPartitioned) to.write(chunk) })
        from.on('error', () => undefined)
      }
    })
    await new Promise<void>((resolve) => { proxy.listen(0, '127.0.0.1', resolve) })
    const near = await create().dial(`127.0.0.1:${(proxy.address() as AddressInfo).port}` as NetworkAddress)
    near.send({ ping: { number: 0 } })
    await accepted
    isPartitioned = true
    // Fails by the timeout of the test if the server waits for the unresponsive peer.
    await server.close()
    near.dispose()
    proxy.close()
  })

  it('rejects a dial to an address without a listener, with the step and the peer in the error', async () => {
    const error = await create({ dialTimeout: 300 as Milliseconds }).dial('127.0.0.1:1' as NetworkAddress).catch((reason: unknown) => reason)
    expect(error).to.include({ name: 'PeerUnreachableError', step: 'transport.dial', peer: '127.0.0.1:1' })
  })

  // Guards against the list of parts of grpc-js: 200,000 bytes in frames of one byte took 21 MB of heap.
  it('takes memory for the bytes of an incomplete message, not for each frame in which they arrive', async () => {
    const transport = create()
    const address = await transport.bind()
    const accepted = new Promise<IPeerChannel>((resolve, reject) => { transport.listen(resolve).catch(reject) })
    const frames = await Http2Frames.open(splitAddress(address).port, exchangeDefinition().path)
    const channel = await accepted
    const received = new Promise<ReceivedPeerMessage>((resolve) => { channel.onMessage(resolve) })
    const message = encodePeerMessage({ broadcast: { topic: 'small', payload: Buffer.alloc(SMALL_CHUNKS, 'a') } })
    const head = Buffer.alloc(GRPC_HEAD_BYTES)
    head.writeUInt32BE(message.byteLength, 1)
    const before = measureUsedHeap()
    await frames.send(Buffer.concat([head, message.subarray(0, -1)]), 1)
    await frames.acknowledged()
    const growth = measureUsedHeap() - before
    await frames.send(message.subarray(-1), 1)
    const { broadcast } = await received
    frames.close()
    expect(growth).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect(Buffer.from(broadcast?.payload ?? []).equals(Buffer.alloc(SMALL_CHUNKS, 'a'))).to.equal(true)
  })
})
