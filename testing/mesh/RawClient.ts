/** A client that sends given bytes on a connection and reads the statuses of the responses. */
import { connect, type Socket } from 'node:net'

const RESPONSE_HEAD = /^HTTP\/1\.1 (\d{3})[^\r\n]*\r\n((?:[^\r\n]+\r\n)*)\r\n/
const LENGTH_LINE = /^content-length: (\d+)\r?$/im
const FIRST_FINAL_STATUS = 200

/** One connection. The responses of a node have a length; those to HEAD have the length 0. */
export class RawClient {
  /** Statuses of the complete final responses. */
  public readonly statuses: number[] = []
  public isClosed = false
  private readonly _socket: Socket
  private _received = ''
  private _onChanged: () => void = () => undefined

  constructor (port: number) {
    this._socket = connect({ port, host: '127.0.0.1', noDelay: true })
    this._socket.on('error', () => undefined)
    this._socket.on('data', (bytes) => {
      this._received += bytes.toString('latin1')
      this._readResponses()
      this._onChanged()
    })
    this._socket.once('close', () => {
      this.isClosed = true
      this._onChanged()
    })
  }

  /** Sends each part as a write of its own. */
  public async send (parts: readonly Buffer[]): Promise<void> {
    for (const part of parts) {
      this._socket.write(part)
      if (parts.length > 1) await new Promise((resolve) => setImmediate(resolve))
    }
  }

  /** Resolves with the statuses once there are `count`, or once the connection is closed. */
  public async responses (count: number): Promise<readonly number[]> {
    while (this.statuses.length < count && !this.isClosed) {
      await new Promise<void>((resolve) => { this._onChanged = resolve })
    }
    return this.statuses
  }

  public close (): void {
    this._socket.destroy()
  }

  private _readResponses (): void {
    for (;;) {
      const [head, status, lines] = RESPONSE_HEAD.exec(this._received) ?? []
      if (head === undefined) return
      const end = head.length + Number(LENGTH_LINE.exec(lines ?? '')?.[1] ?? 0)
      if (this._received.length < end) return
      this._received = this._received.slice(end)
      if (Number(status) >= FIRST_FINAL_STATUS) this.statuses.push(Number(status))
    }
  }
}
