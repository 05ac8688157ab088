/** Object store that counts requests per second and can be made unavailable. */
import { PlatformUnavailableError } from '../../src/platform/PlatformErrors.js'
import { EmbeddedObjectStore } from '../../src/platform/EmbeddedObjectStore.js'
import type { IClockService } from '../../src/common/Services.js'
import type { Milliseconds } from '../../src/common/Types.js'
import type { IObjectStore } from '../../src/platform/Services.js'
import type { IStoredObject, ObjectExpectation, ObjectKey, ObjectWriteOutcome } from '../../src/platform/Types.js'

const SECOND_MS = 1_000

/** Embedded object store that responds after a fixed latency. */
export class CountingObjectStore implements IObjectStore {
  public isDown = false
  public readonly readsBySecond = new Map<number, number>()
  public readonly writesBySecond = new Map<number, number>()
  private readonly _inner = new EmbeddedObjectStore()

  constructor (private readonly _clock: IClockService, private readonly _latency: number) {}

  public async get (key: ObjectKey): Promise<IStoredObject | undefined> {
    await this._countAndDelay(this.readsBySecond)
    return await this._inner.get(key)
  }

  public async put (key: ObjectKey, content: Uint8Array, expected: ObjectExpectation): Promise<ObjectWriteOutcome> {
    await this._countAndDelay(this.writesBySecond)
    return await this._inner.put(key, content, expected)
  }

  public async delete (key: ObjectKey): Promise<void> {
    await this._countAndDelay(this.writesBySecond)
    await this._inner.delete(key)
  }

  private async _countAndDelay (counts: Map<number, number>): Promise<void> {
    const second = Math.floor(this._clock.now() / SECOND_MS)
    counts.set(second, (counts.get(second) ?? 0) + 1)
    await this._clock.sleep(this._latency as Milliseconds)
    if (this.isDown) throw new PlatformUnavailableError('the store is unavailable', { step: 'platform.objects' })
  }
}
