/** Registry of all metrics of the process. */
import { Registry } from 'prom-client'
import type { IMetricsService } from './Services.js'

/** Uses a registry of its own, so that several nodes in one process do not share metrics. */
export class MetricsService implements IMetricsService {
  public readonly registry = new Registry()
}
