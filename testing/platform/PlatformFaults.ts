/** Faults of the platform, to be switched on and off while it runs. */
import type { IClockService, IRandomService } from '../../src/common/Services.js'
import type { Milliseconds } from '../../src/common/Types.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../src/platform/PlatformErrors.js'

/** Which faults are on. Shares are fractions from 0 to 1. */
export interface IPlatformFaultSettings {
  /** Nothing is read or written. */
  readonly isDown: boolean
  /** Time added to every operation. */
  readonly delay: Milliseconds
  /** Share of writes that take effect and whose answer is lost. */
  readonly lostAnswers: number
  /** Share of writes that are lost before they take effect, which the client cannot tell. */
  readonly lostRequests: number
  /** Share of writes that take effect `lateBy` after their client has given up. */
  readonly lateWrites: number
  readonly lateBy: Milliseconds
  /** Operations admitted a second; 0 is no limit. */
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** No fault. */
export const DEFAULT_PLATFORM_FAULTS: IPlatformFaultSettings = Object.freeze({
  isDown: false,
  delay: 0 as Milliseconds,
  lostAnswers: 0,
  lostRequests: 0,
  lateWrites: 0,
  lateBy: 0 as Milliseconds,
  readsPerSecond: 0,
  writesPerSecond: 0
})

/** What the platform was asked since the counts were set to zero. */
export interface IPlatformCounts {
  reads: number
  writes: number
  /** Operations that were refused because of a fault. */
  refused: number
  /** Bytes of rows and objects handed out. */
  readBytes: number
  /** Most operations in one second. */
  peakReads: number
  peakWrites: number
}

export type PlatformOperation = 'read' | 'write'

/** What the faults need. */
export interface IPlatformFaultsOptions {
  readonly clock: IClockService
  readonly random: IRandomService
}

const SECOND_MS = 1_000

/** Decides the fate of each operation. */
export class PlatformFaults {
  public counts = emptyCounts()
  private _settings = DEFAULT_PLATFORM_FAULTS
  private _second = 0
  private _inSecond = { read: 0, write: 0 }

  constructor (private readonly _options: IPlatformFaultsOptions) {}

  public get settings (): IPlatformFaultSettings {
    return this._settings
  }

  /** Changes some settings; the others stay. */
  public set (settings: Partial<IPlatformFaultSettings>): void {
    this._settings = { ...this._settings, ...settings }
  }

  /** Switches all faults off. */
  public clear (): void {
    this._settings = DEFAULT_PLATFORM_FAULTS
  }

  public resetCounts (): void {
    this.counts = emptyCounts()
  }

  /** Runs one operation under the present faults; rejects with the errors of the platform. */
  public async run<TResult> (operation: PlatformOperation, action: () => Promise<TResult>): Promise<TResult> {
    this._count(operation)
    if (this._settings.delay > 0) await this._options.clock.sleep(this._settings.delay)
    if (this._settings.isDown) throw this._refuse('platform is down')
    if (this._isOverLimit(operation)) throw this._refuse('platform is over its rate limit')
    return operation === 'read' ? await action() : await this._write(action)
  }

  private async _write<TResult> (action: () => Promise<TResult>): Promise<TResult> {
    const { lostAnswers, lostRequests, lateWrites, lateBy } = this._settings
    const draw = this._options.random.fraction()
    if (draw < lostRequests) throw loseAnswer()
    if (draw < lostRequests + lateWrites) {
      this._options.clock.after(lateBy, () => { action().catch(() => {}) })
      throw loseAnswer()
    }
    const result = await action()
    if (draw < lostRequests + lateWrites + lostAnswers) throw loseAnswer()
    return result
  }

  private _count (operation: PlatformOperation): void {
    const second = Math.floor(this._options.clock.now() / SECOND_MS)
    if (second !== this._second) this._inSecond = { read: 0, write: 0 }
    this._second = second
    this._inSecond[operation]++
    if (operation === 'read') this.counts.reads++
    else this.counts.writes++
    this.counts.peakReads = Math.max(this.counts.peakReads, this._inSecond.read)
    this.counts.peakWrites = Math.max(this.counts.peakWrites, this._inSecond.write)
  }

  private _isOverLimit (operation: PlatformOperation): boolean {
    const limit = operation === 'read' ? this._settings.readsPerSecond : this._settings.writesPerSecond
    return limit > 0 && this._inSecond[operation] > limit
  }

  private _refuse (message: string): PlatformUnavailableError {
    this.counts.refused++
    return new PlatformUnavailableError(message, { step: 'platform.fault', peer: 'stand-in' })
  }
}

function loseAnswer (): OutcomeUnknownError {
  return new OutcomeUnknownError('answer was lost', { step: 'platform.fault', peer: 'stand-in' })
}

function emptyCounts (): IPlatformCounts {
  return { reads: 0, writes: 0, refused: 0, readBytes: 0, peakReads: 0, peakWrites: 0 }
}
