/** Faults of the platform, which can be changed at run time. */
import type { IClockService, IRandomService } from '../../src/common/Services.js'
import type { Milliseconds } from '../../src/common/Types.js'
import { OutcomeUnknownError, PlatformUnavailableError } from '../../src/platform/PlatformErrors.js'

/** Settings of the injected faults. Shares are fractions from 0 to 1. */
export interface IPlatformFaultSettings {
  /** Rejects all operations as unavailable. */
  readonly isDown: boolean
  /** Delay added to every operation. */
  readonly delay: Milliseconds
  /** Share of writes that take effect but whose response is lost. */
  readonly lostAnswers: number
  /** Share of writes that are lost before they take effect; the client receives the same error as for a lost response. */
  readonly lostRequests: number
  /** Share of writes that take effect only after the client received an error, delayed by `lateBy`. */
  readonly lateWrites: number
  readonly lateBy: Milliseconds
  /** Maximum number of operations per second; 0 disables the limit. */
  readonly readsPerSecond: number
  readonly writesPerSecond: number
}

/** Defaults of `PlatformFaults`: no faults. */
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

/** Operations on the platform since the counts were reset. */
export interface IPlatformCounts {
  reads: number
  writes: number
  /** Operations rejected because of a fault. */
  refused: number
  /** Bytes of rows and objects returned by reads. */
  readBytes: number
  /** Highest number of operations within one second. */
  peakReads: number
  peakWrites: number
}

export type PlatformOperation = 'read' | 'write'

/** Dependencies of `PlatformFaults`. */
export interface IPlatformFaultsOptions {
  readonly clock: IClockService
  readonly random: IRandomService
}

const SECOND_MS = 1_000

/** Injects faults into operations and counts the operations. */
export class PlatformFaults {
  public counts = emptyCounts()
  private _settings = DEFAULT_PLATFORM_FAULTS
  private _second = 0
  private _operationsInSecond = { read: 0, write: 0 }

  constructor (private readonly _options: IPlatformFaultsOptions) {}

  public get settings (): IPlatformFaultSettings {
    return this._settings
  }

  /** Changes the given settings and leaves the others unmodified. */
  public set (settings: Partial<IPlatformFaultSettings>): void {
    this._settings = { ...this._settings, ...settings }
  }

  /** Disables all faults. */
  public clear (): void {
    this._settings = DEFAULT_PLATFORM_FAULTS
  }

  public resetCounts (): void {
    this.counts = emptyCounts()
  }

  /** Runs one operation with the current faults; rejects with the errors of a platform. */
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
    if (draw < lostRequests) throw createUnknownOutcomeError()
    if (draw < lostRequests + lateWrites) {
      this._options.clock.after(lateBy, () => { action().catch(() => {}) })
      throw createUnknownOutcomeError()
    }
    const result = await action()
    if (draw < lostRequests + lateWrites + lostAnswers) throw createUnknownOutcomeError()
    return result
  }

  private _count (operation: PlatformOperation): void {
    const second = Math.floor(this._options.clock.now() / SECOND_MS)
    if (second !== this._second) this._operationsInSecond = { read: 0, write: 0 }
    this._second = second
    this._operationsInSecond[operation]++
    if (operation === 'read') this.counts.reads++
    else this.counts.writes++
    this.counts.peakReads = Math.max(this.counts.peakReads, this._operationsInSecond.read)
    this.counts.peakWrites = Math.max(this.counts.peakWrites, this._operationsInSecond.write)
  }

  private _isOverLimit (operation: PlatformOperation): boolean {
    const limit = operation === 'read' ? this._settings.readsPerSecond : this._settings.writesPerSecond
    return limit > 0 && this._operationsInSecond[operation] > limit
  }

  private _refuse (message: string): PlatformUnavailableError {
    this.counts.refused++
    return new PlatformUnavailableError(message, { step: 'platform.fault', peer: 'stand-in' })
  }
}

function createUnknownOutcomeError (): OutcomeUnknownError {
  return new OutcomeUnknownError('response was lost', { step: 'platform.fault', peer: 'stand-in' })
}

function emptyCounts (): IPlatformCounts {
  return { reads: 0, writes: 0, refused: 0, readBytes: 0, peakReads: 0, peakWrites: 0 }
}
