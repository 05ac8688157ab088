/** A link that can be delayed, cut one way, silenced or reset. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import type { LinkMode } from './Types.js'

const HOST = '127.0.0.1'
/** Added to each part of a delayed connection, each way. */
const DELAY_MS = 120

const NO_BYTES = Buffer.alloc(0)

/** One connection through the link. */
interface IPair {
  readonly near: Socket
  readonly far: Socket
  /** True once bytes were lost. */
  isLost: boolean
}

/** Passes on what comes at its own port to another one. A connection of a silent link stays silent for good, as without a reset. */
export class LoopbackProxy {
  private _mode: LinkMode = 'well'
  private readonly _pairs = new Set<IPair>()
  private readonly _server: Server

  constructor (private readonly _target: number) {
    this._server = createServer({ allowHalfOpen: true }, (near) => this._accept(near))
  }

  public get port (): number {
    return (this._server.address() as AddressInfo).port
  }

  /** Connections on which bytes were lost, and which nobody has closed. */
  public get lostConnections (): number {
    return [...this._pairs].filter(({ isLost }) => isLost).length
  }

  public start (): Promise<void> {
    return new Promise((resolve) => { this._server.listen(0, HOST, resolve) })
  }

  public stop (): void {
    this._server.close()
    this.reset()
  }

  /** Bytes under way at a change are lost where the new mode loses bytes; they don't come later. */
  public switchTo (mode: LinkMode): void {
    this._mode = mode
  }

  /** Resets every connection. */
  public reset (): void {
    for (const { near, far } of this._pairs) {
      near.resetAndDestroy()
      far.resetAndDestroy()
    }
    this._pairs.clear()
  }

  private _accept (near: Socket): void {
    if (this._mode === 'refusing') {
      near.resetAndDestroy()
      return
    }
    const pair: IPair = { near, far: connect({ host: HOST, port: this._target, noDelay: true, allowHalfOpen: true }), isLost: false }
    near.setNoDelay(true)
    this._pairs.add(pair)
    this._pass(pair, pair.near, pair.far, 'deaf-forwards')
    this._pass(pair, pair.far, pair.near, 'deaf-backwards')
  }

  private _pass (pair: IPair, from: Socket, to: Socket, deafMode: LinkMode): void {
    const line = new DelayLine()
    let isLost = false
    const later = (action: () => void): void => line.push(action, this._mode === 'delayed' ? DELAY_MS : 0)
    from.on('data', (part) => {
      // A gap in the bytes can't be mended later: what follows it is lost as well.
      isLost ||= this._mode === 'silent' || this._mode === deafMode
      pair.isLost ||= isLost
      if (!isLost) later(() => { if (to.writable) to.write(part) })
    })
    // A reset that comes together with the last bytes is reported as a plain end; a write of no bytes then fails.
    from.on('end', () => from.write(NO_BYTES, (error) => {
      if (!isLost) later(() => error == null ? to.end() : to.resetAndDestroy())
    }))
    from.on('error', () => undefined)
    from.on('close', (hadError) => {
      this._pairs.delete(pair)
      if (!isLost) later(() => hadError ? to.resetAndDestroy() : to.destroySoon())
    })
  }
}

/** Does one thing after the other, each no earlier than its delay says, and never before the one that came first. */
class DelayLine {
  private _last: Promise<void> = Promise.resolve()
  private _waiting = 0

  public push (action: () => void, delay: number): void {
    if (delay === 0 && this._waiting === 0) return action()
    const due = new Promise<void>((resolve) => setTimeout(resolve, delay))
    this._waiting++
    this._last = Promise.all([this._last, due]).then(() => {
      this._waiting--
      action()
    })
  }
}
