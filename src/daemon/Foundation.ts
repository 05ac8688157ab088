/** Registers what every other service uses: clock, random numbers, log, metrics, invariants. */
import { randomInt } from 'node:crypto'
import { ClockService } from '../common/ClockService.js'
import { InvariantService } from '../common/InvariantService.js'
import { LogService } from '../common/LogService.js'
import { MetricsService } from '../common/MetricsService.js'
import { RandomService } from '../common/RandomService.js'
import {
  IClockService, IInvariantService, ILogService, IMetricsService, IRandomService, type IKernel, type IServiceKey
} from '../common/Services.js'
import type { NodeId } from '../common/Types.js'
import type { ISettings } from './settings/Types.js'

const SEED_LIMIT = 2 ** 31

/** Keys of the foundation, for dependencies. */
export const FOUNDATION: ReadonlyArray<IServiceKey<object>> = [
  IClockService, IRandomService, ILogService, IMetricsService, IInvariantService
]

/** The foundation as options of a service. */
export interface IFoundation {
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
}

/** Registers the foundation. */
export function registerFoundation (kernel: IKernel, settings: ISettings, id: NodeId): void {
  kernel.register({ key: IClockService, dependsOn: [], create: () => new ClockService() })
  kernel.register({ key: IRandomService, dependsOn: [], create: () => new RandomService(randomInt(SEED_LIMIT)) })
  kernel.register({
    key: ILogService,
    dependsOn: [],
    create: () => new LogService({ ...settings.log, fields: { node: id, failureDomain: settings.node['failure-domain'] } })
  })
  kernel.register({ key: IMetricsService, dependsOn: [], create: () => new MetricsService() })
  kernel.register({
    key: IInvariantService,
    dependsOn: [ILogService, IMetricsService],
    create: () => new InvariantService({ log: kernel.get(ILogService), metrics: kernel.get(IMetricsService) })
  })
}

/** Reads the foundation from a kernel in which it has started. */
export function foundationOf (kernel: IKernel): IFoundation {
  return {
    clock: kernel.get(IClockService),
    random: kernel.get(IRandomService),
    log: kernel.get(ILogService),
    metrics: kernel.get(IMetricsService),
    invariants: kernel.get(IInvariantService)
  }
}
