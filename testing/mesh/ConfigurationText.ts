/** Configurations in the text format of the platform's operator. */

/** One route of a configuration. */
export interface IRigRoute { readonly prefix: string, readonly service: string, readonly kind?: string, readonly timeout?: number }

/** Limits of a configuration that tests override. */
export interface IRigLimits {
  /** Milliseconds. */
  readonly idleTimeout: number
  /** Maximum size of a request body in bytes. */
  readonly bodyBytes: number
}

const DEFAULT_RIG_LIMITS: IRigLimits = Object.freeze({ idleTimeout: 15_000, bodyBytes: 1_000_000 })

/** Text of a configuration with this version and these routes. */
export function configurationText (version: number, routes: readonly IRigRoute[], limits: Partial<IRigLimits> = {}): string {
  const { idleTimeout, bodyBytes } = { ...DEFAULT_RIG_LIMITS, ...limits }
  const services = [...new Set(routes.map((route) => route.service))]
  return JSON.stringify({
    version: `r${version}`,
    routes: {
      columns: ['name', 'hostname', 'prefix', 'kind', 'timeoutMs', 'targetLatencyMs', 'priority', 'maxAttempts', 'service', 'weightedSplit'],
      rows: routes.map(({ prefix, service, kind, timeout }) => [`r-${prefix}`, 'mesh.example', prefix, kind ?? 'idempotent', timeout ?? 2_000, 500, 1, 2, service, null])
    },
    services: { columns: ['name', 'healthPath', 'maxConns', 'protocol', 'tls'], rows: services.map((name) => [name, '/health', 20, 'h1', false]) },
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: bodyBytes, headerTimeoutMs: 3_000, idleTimeoutMs: idleTimeout }
  })
}

/** Routes without traffic whose random prefixes compress poorly, like hashes. */
export function idleRoutes (count: number, random: { integer: (limit: number) => number }): IRigRoute[] {
  const word = (): string => random.integer(2 ** 31).toString(36).padStart(6, '0')
  return Array.from({ length: count }, () => ({ prefix: `/${word()}/${word()}/`, service: 'idle' }))
}
