/** Connects the HTTP adapters to a platform's stand-in. */
import { ClockService } from '../../src/common/ClockService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import { HttpObjectStore } from '../../src/platform/HttpObjectStore.js'
import { HttpTableService } from '../../src/platform/HttpTableService.js'
import { PlatformHttpClient, type IPlatformHttpOptions } from '../../src/platform/PlatformHttpClient.js'
import { RecordingLog } from '../RecordingLog.js'
import type { IPlatformUnderTest } from './PlatformContract.js'

/** Adapters with the log that they write to. */
export interface IHttpPlatform extends IPlatformUnderTest {
  readonly log: RecordingLog
  readonly metrics: MetricsService
}

/** Connects to `url`; nothing is sent until the first operation. */
export function connectHttpPlatform (url: string, options: Partial<IPlatformHttpOptions> = {}): IHttpPlatform {
  const services = { clock: new ClockService(), log: new RecordingLog(), metrics: new MetricsService() }
  const client = new PlatformHttpClient(services, { url, ...options })
  return {
    table: new HttpTableService(client),
    objects: new HttpObjectStore(client),
    log: services.log,
    metrics: services.metrics,
    stop: () => client.stop()
  }
}
