/** Keys of the daemon's own services. */
import { createServiceKey, type IService } from '../common/Services.js'
import type { KeyService } from './keys/KeyService.js'

/** Present only where keys are on. */
export const IKeyService = createServiceKey<KeyService>('daemon.keys')
/** Starts once the node has caught up; whatever serves calls depends on it. */
export const ICaughtUpService = createServiceKey<IService>('daemon.caught-up')
export const IOperatorService = createServiceKey<IService>('daemon.operator')
export const IMetricsServer = createServiceKey<IService>('daemon.metrics-server')
export const IGateServer = createServiceKey<IService>('daemon.gate-server')
export const ICallerFront = createServiceKey<IService>('daemon.caller-front')
