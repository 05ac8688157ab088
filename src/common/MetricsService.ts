/** Registry of all metrics of the process. */
import { Registry } from 'prom-client'
import type { IMetricsService } from './Services.js'

/** Holds one registry, so that several nodes in one process keep their metrics apart. */
export class MetricsService implements IMetricsService {
  public readonly registry = new Registry()
}
