/** Connects the HTTP adapters to the stand-in of a platform. */
import { ClockService } from '../../src/common/ClockService.js'
import { MetricsService } from '../../src/common/MetricsService.js'
import { HttpObjectStore } from '../../src/platform/HttpObjectStore.js'
import { HttpTableService } from '../../src/platform/HttpTableService.js'
import { PlatformHttpClient, type IPlatformHttpOptions } from '../../src/platform/PlatformHttpClient.js'
import { RecordingLog } from '../RecordingLog.js'
import type { IPlatformUnderTest } from './PlatformContract.js'

/** HTTP adapters with their log and metrics. */
export interface IHttpPlatform extends IPlatformUnderTest {
  readonly log: RecordingLog
  readonly metrics: MetricsService
}

/** Creates adapters for the platform at `url`; no request is sent before the first operation. */
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
