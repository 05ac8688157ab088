/** Service keys of the daemon. */
import { createServiceKey, type IService } from '../common/Services.js'
import type { PlatformHttpClient } from '../platform/PlatformHttpClient.js'

/** Registered only if the platform is reached over HTTP. */
export const IPlatformClient = createServiceKey<PlatformHttpClient>('daemon.platform-client')
/** Its start completes once the node has caught up; every service that serves calls depends on it. */
export const ICaughtUpService = createServiceKey<IService>('daemon.caught-up')
export const IOperatorService = createServiceKey<IService>('daemon.operator')
export const IMetricsServer = createServiceKey<IService>('daemon.metrics-server')
export const IGateServer = createServiceKey<IService>('daemon.gate-server')
export const ICallerFront = createServiceKey<IService>('daemon.caller-front')
