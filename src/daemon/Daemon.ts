/** One node: registers all services of savoryknotd in one kernel. */
import { ClockService } from '../common/ClockService.js'
import { createNodeId } from '../common/Ids.js'
import { Kernel } from '../common/Kernel.js'
import { LogService } from '../common/LogService.js'
import { IClockService, ILogService } from '../common/Services.js'
import { ICatchUpService } from '../distribution/Services.js'
import { IGateService } from '../gate/Services.js'
import { IMembershipService } from '../membership/Services.js'
import { registerCalls } from './CallServices.js'
import { registerDocuments, registerPlatform } from './DocumentServices.js'
import { DAEMON_STARTED, DAEMON_STOPPED, DAEMON_STOPPING } from './Events.js'
import { registerFoundation } from './Foundation.js'
import { KeyService } from './keys/KeyService.js'
import { registerPeers } from './PeerServices.js'
import { registerPorts } from './PortServices.js'
import type { ISettings } from './settings/Types.js'

/** Starts and stops the services of a node. */
export class Daemon {
  private readonly _kernel = new Kernel()
  private readonly _keys: KeyService | undefined
  private _isReady = false
  private _stopping: Promise<void> | undefined

  constructor (settings: ISettings) {
    const id = createNodeId()
    const { keys: files } = settings
    this._keys = files === undefined ? undefined : new KeyService({ files, clock: new ClockService(), log: new LogService(settings.log) })
    const options = { settings, id, keys: this._keys, isReady: () => this._isReady }
    registerFoundation(this._kernel, settings, id)
    registerPlatform(this._kernel, settings)
    registerDocuments(this._kernel)
    registerPorts(this._kernel, options)
    registerPeers(this._kernel, options)
    registerCalls(this._kernel, options)
  }

  /** Resolves when the node has caught up with the accepted documents and serves calls. */
  public async start (): Promise<void> {
    await this._kernel.start()
    this._isReady = true
    const source = this._kernel.get(ICatchUpService).source
    this._kernel.get(ILogService).log(DAEMON_STARTED, { source: source?.kind })
  }

  /** Stops gracefully: drains the gate, finishes requests in flight, leaves the membership, then stops every service. */
  public stop (): Promise<void> {
    this._stopping ??= this._stop()
    return this._stopping
  }

  /** Reads the key files again. */
  public reloadKeys (): void {
    this._keys?.reload()
  }

  private async _stop (): Promise<void> {
    const wasReady = this._isReady
    this._isReady = false
    if (wasReady) await this._leave()
    await this._kernel.stop()
    if (wasReady) this._kernel.get(ILogService).log(DAEMON_STOPPED)
  }

  private async _leave (): Promise<void> {
    const log = this._kernel.get(ILogService)
    const clock = this._kernel.get(IClockService)
    log.log(DAEMON_STOPPING)
    await this._kernel.get(IGateService).drain(clock.now())
    await this._kernel.get(IMembershipService).leave(clock.now())
  }
}
