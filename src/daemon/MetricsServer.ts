/** HTTP server for metrics, health and readiness. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { collectDefaultMetrics } from 'prom-client'
import type { IMetricsService, IService } from '../common/Services.js'
import type { NetworkAddress } from '../common/Types.js'
import { listenAt } from '../common/Listening.js'

const REQUEST_TIMEOUT_MS = 5_000
/** Interval of the event loop delay samples. Each sample wakes the process; the default of 10 ms costs 0.6 % of a core when idle. */
const EVENT_LOOP_PRECISION_MS = 1_000

/** Dependencies of the metrics server. */
export interface IMetricsServerOptions {
  readonly address: NetworkAddress
  readonly metrics: IMetricsService
  /** True while the node accepts calls: it has caught up and is not stopping. */
  readonly isReady: () => boolean
}

/** Serves `/metrics` in the Prometheus format, `/health` with 200 while the process runs, `/ready` with 200 while it accepts calls. */
export class MetricsServer implements IService {
  private readonly _server: Server

  constructor (private readonly _options: IMetricsServerOptions) {
    collectDefaultMetrics({ register: _options.metrics.registry, eventLoopMonitoringPrecision: EVENT_LOOP_PRECISION_MS })
    this._server = createServer((request, response) => {
      this._respond(request, response).catch((error: Error) => response.destroy(error))
    })
    this._server.requestTimeout = REQUEST_TIMEOUT_MS
  }

  public async start (): Promise<void> {
    await listenAt(this._server, this._options.address)
  }

  public async stop (): Promise<void> {
    await new Promise<void>((resolve) => {
      this._server.close(() => resolve())
      this._server.closeAllConnections()
    })
  }

  private async _respond (request: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (request.url) {
      case '/metrics': return this._writeMetrics(response)
      case '/health': return writeText(response, 200, 'alive\n')
      case '/ready': return this._options.isReady() ? writeText(response, 200, 'ready\n') : writeText(response, 503, 'not ready\n')
      default: return writeText(response, 404, 'there are /metrics, /health and /ready\n')
    }
  }

  private async _writeMetrics (response: ServerResponse): Promise<void> {
    const { registry } = this._options.metrics
    const text = await registry.metrics()
    response.setHeader('content-type', registry.contentType)
    response.end(text)
  }
}

function writeText (response: ServerResponse, status: number, text: string): void {
  response.writeHead(status, { 'content-type': 'text/plain; charset=utf-8' })
  response.end(text)
}
