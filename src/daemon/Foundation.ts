/** Registers the services that all others use: clock, random numbers, log, metrics, invariants. */
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

const RANDOM_SEED_BOUND = 2 ** 31

/** Service keys of the foundation, for use in `dependsOn`. */
export const FOUNDATION: ReadonlyArray<IServiceKey<object>> = [
  IClockService, IRandomService, ILogService, IMetricsService, IInvariantService
]

/** The foundation services as options of another service. */
export interface IFoundation {
  readonly clock: IClockService
  readonly random: IRandomService
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
}

/** Registers the foundation services. */
export function registerFoundation (kernel: IKernel, settings: ISettings, id: NodeId): void {
  kernel.register({ key: IClockService, dependsOn: [], create: () => new ClockService() })
  kernel.register({ key: IRandomService, dependsOn: [], create: () => new RandomService(randomInt(RANDOM_SEED_BOUND)) })
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

/** Gets the foundation services from a kernel that has started them. */
export function foundationOf (kernel: IKernel): IFoundation {
  return {
    clock: kernel.get(IClockService),
    random: kernel.get(IRandomService),
    log: kernel.get(ILogService),
    metrics: kernel.get(IMetricsService),
    invariants: kernel.get(IInvariantService)
  }
}
