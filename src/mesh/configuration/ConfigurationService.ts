/** Stores the active configuration of this node and replaces it atomically, by one assignment. */
import { Gauge } from 'prom-client'
import { Emitter } from '../../common/Emitter.js'
import type { IInvariantService, ILogService, IMetricsService } from '../../common/Services.js'
import type { IEvent, Timestamp } from '../../common/Types.js'
import { CONFIGURATION_APPLIED, CONFIGURATION_REJECTED } from '../Events.js'
import type { IConfigurationDecoder, IConfigurationService } from '../Services.js'
import type { ConfigurationVersion, IMeshConfiguration } from '../Types.js'
import { RouteIndex } from './RouteIndex.js'

/** Dependencies of `ConfigurationService`. */
export interface IConfigurationServiceOptions {
  readonly decoder: IConfigurationDecoder
  readonly log: ILogService
  readonly metrics: IMetricsService
  readonly invariants: IInvariantService
}

const NO_VERSION = 0 as ConfigurationVersion

/** Applies newer configurations atomically. A request uses one route index from start to end, even if the configuration is replaced. */
export class ConfigurationService implements IConfigurationService {
  private readonly _onReplaced = new Emitter<RouteIndex>()
  private readonly _versionGauge: Gauge
  private _current: RouteIndex | undefined
  private _configurationText = ''

  constructor (private readonly _options: IConfigurationServiceOptions) {
    this._versionGauge = new Gauge({
      name: 'savoryknot_configuration_version',
      help: 'Version of the configuration in force. Unit: version number.',
      registers: [_options.metrics.registry]
    })
  }

  public get current (): RouteIndex | undefined {
    return this._current
  }

  public get text (): string {
    return this._configurationText
  }

  public get version (): ConfigurationVersion {
    return this._current?.configuration.version ?? NO_VERSION
  }

  public get onReplaced (): IEvent<RouteIndex> {
    return this._onReplaced.event
  }

  public applyIfNewer (text: string, source: string, now: Timestamp): boolean {
    if (text === this._configurationText) return true
    const { log } = this._options
    try {
      const configuration = this._options.decoder.decode(text)
      // A stale update: an older version sent by a peer, or returned by a read of the store that finished after a later read.
      if (configuration.version <= this.version) return false
      this._assertRouteServicesExist(configuration)
      this._applyIndex(new RouteIndex(configuration), text)
    } catch (error) {
      log.log(CONFIGURATION_REJECTED, { step: 'configuration.apply', peer: source, inForce: this.version, reason: String(error) })
      return false
    }
    log.log(CONFIGURATION_APPLIED, {
      step: 'configuration.apply',
      source,
      version: this.version,
      routes: this._current?.configuration.routes.length,
      characters: text.length,
      learntAt: now
    })
    return true
  }

  private _applyIndex (index: RouteIndex, text: string): void {
    const isNewer = index.configuration.version > this.version
    if (!this._options.invariants.check(isNewer, 'version-never-lower', 'configuration.apply')) return
    this._current = index
    this._configurationText = text
    this._versionGauge.set(index.configuration.version)
    this._onReplaced.fire(index)
  }

  /** Throws if a route refers to a service that the same configuration does not contain. */
  private _assertRouteServicesExist (configuration: IMeshConfiguration): void {
    for (const route of configuration.routes) {
      const missing = route.shares.find(({ service }) => !configuration.services.has(service))
      if (this._options.invariants.check(missing === undefined, 'route-has-resource', 'configuration.check')) continue
      throw new Error(`route ${route.name} refers to service ${missing?.service ?? ''}, which is missing from the configuration`)
    }
  }
}
