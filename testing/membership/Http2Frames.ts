/** Client that writes HTTP/2 frames itself, so that a test decides how a gRPC message is split into DATA frames. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'

const PREFACE = 'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
const FRAME_HEAD_BYTES = 9
const FRAME_TYPE = Object.freeze({ data: 0, headers: 1, settings: 4, ping: 6, windowUpdate: 8 })
const END_HEADERS = 4
const ACKNOWLEDGEMENT = 1
const PING_BYTES = 8
const STREAM = 1
/** Initial flow control window of a stream and of a connection, in bytes. */
const INITIAL_WINDOW_BYTES = 65_535

/** One gRPC stream on a connection of its own; respects the flow control of the server. */
export class Http2Frames {
  private _streamWindow = INITIAL_WINDOW_BYTES
  private _connectionWindow = INITIAL_WINDOW_BYTES
  private _received: Buffer = Buffer.alloc(0)
  private _acknowledgedPings = 0

  private constructor (private readonly _socket: Socket) {
    _socket.on('error', () => undefined)
    _socket.on('data', (bytes) => this._readFrames(bytes))
  }

  /** Connects and opens a stream for the method at `path`. */
  public static async open (port: number, path: string): Promise<Http2Frames> {
    const socket = connect(port, '127.0.0.1').setNoDelay(true)
    await once(socket, 'connect')
    const frames = new Http2Frames(socket)
    const fields = [[':method', 'POST'], [':scheme', 'http'], [':path', path], [':authority', 'node'], ['content-type', 'application/grpc'], ['te', 'trailers']]
    socket.write(PREFACE)
    socket.write(frame(FRAME_TYPE.settings, 0, 0, Buffer.alloc(0)))
    socket.write(frame(FRAME_TYPE.headers, END_HEADERS, STREAM, Buffer.concat(fields.map(([name, value]) => literalField(name ?? '', value ?? '')))))
    return frames
  }

  public get isClosed (): boolean {
    return this._socket.destroyed
  }

  /** Sends `content` in DATA frames of `frameBytes` bytes each; resolves early if the server closes the connection. */
  public async send (content: Buffer, frameBytes: number): Promise<void> {
    for (let position = 0; position < content.byteLength && !this.isClosed;) {
      const sendable = Math.min(this._streamWindow, this._connectionWindow, content.byteLength - position)
      const frames: Buffer[] = []
      for (let sent = 0; sent < sendable; sent += frameBytes) {
        frames.push(frame(FRAME_TYPE.data, 0, STREAM, content.subarray(position + sent, position + Math.min(sent + frameBytes, sendable))))
      }
      this._streamWindow -= sendable
      this._connectionWindow -= sendable
      position += sendable
      this._socket.write(Buffer.concat(frames))
      await new Promise((resolve) => setTimeout(resolve, 1))
    }
  }

  /** Resolves when the server has read everything that was sent, or has closed the connection. */
  public async acknowledged (): Promise<void> {
    const pings = this._acknowledgedPings
    this._socket.write(frame(FRAME_TYPE.ping, 0, 0, Buffer.alloc(PING_BYTES)))
    while (this._acknowledgedPings === pings && !this.isClosed) await new Promise((resolve) => setTimeout(resolve, 1))
  }

  public close (): void {
    this._socket.destroy()
  }

  private _readFrames (bytes: Buffer): void {
    this._received = Buffer.concat([this._received, bytes])
    while (this._received.byteLength >= FRAME_HEAD_BYTES) {
      const length = this._received.readUIntBE(0, 3)
      if (this._received.byteLength < FRAME_HEAD_BYTES + length) return
      if (this._received[3] === FRAME_TYPE.ping && this._received[4] === ACKNOWLEDGEMENT) this._acknowledgedPings++
      if (this._received[3] === FRAME_TYPE.windowUpdate) {
        const increment = this._received.readUInt32BE(FRAME_HEAD_BYTES)
        if (this._received.readUInt32BE(5) === 0) this._connectionWindow += increment
        else this._streamWindow += increment
      }
      this._received = this._received.subarray(FRAME_HEAD_BYTES + length)
    }
  }
}

function frame (type: number, flags: number, stream: number, payload: Buffer): Buffer {
  const head = Buffer.alloc(FRAME_HEAD_BYTES)
  head.writeUIntBE(payload.byteLength, 0, 3)
  head[3] = type
  head[4] = flags
  head.writeUInt32BE(stream, 5)
  return Buffer.concat([head, payload])
}

/** A header field without compression; name and value have less than 127 bytes. */
function literalField (name: string, value: string): Buffer {
  return Buffer.concat([Buffer.from([0, name.length]), Buffer.from(name), Buffer.from([value.length]), Buffer.from(value)])
}
