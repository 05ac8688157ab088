/** Requests to stop, changed settings and reports that arrive before the node serves requests. */
import { expect } from 'chai'
import { Adapter } from '../../../platform/Adapter.js'
import type { IService } from '../../common/Services.js'
import type { EndpointId, Milliseconds, NetworkAddress, ServiceName, Timestamp } from '../../common/Types.js'
import type { IControlPortOptions } from '../Services.js'
import type { IEndpointReport } from '../Types.js'
import { findFreePorts } from '../../../testing/demonstration/FreePorts.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { StoreStandIn } from '../../../testing/mesh/StoreStandIn.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { MeshDaemon } from './MeshDaemon.js'
import { parseMeshSettings, type IMeshSettings } from './MeshSettings.js'

const STOP_LIMIT_MS = 6_000
const STEP_MS = 50
/** Much longer than any stop. */
const MAXIMUM_WAIT_MS = 20_000

/** Opens the port for reports only after a call of `openControlPort`. */
class DelayedControlPortAdapter extends Adapter {
  public openControlPort: () => void = () => undefined
  private readonly _opened = new Promise<void>((resolve) => { this.openControlPort = resolve })

  public override createControlPort (options: IControlPortOptions): IService {
    const port = super.createControlPort(options)
    return {
      start: async () => {
        await this._opened
        await port.start?.()
      },
      stop: () => port.stop?.()
    }
  }
}

describe('MeshDaemon', () => {
  let clock: ManualClock
  let store: StoreStandIn
  let settings: IMeshSettings
  let adapter: DelayedControlPortAdapter
  let log: RecordingLog
  let daemon: MeshDaemon

  beforeEach(async () => {
    clock = new ManualClock()
    store = new StoreStandIn()
    adapter = new DelayedControlPortAdapter()
    log = new RecordingLog()
    await store.start()
    settings = await freeSettings(store.address)
    daemon = new MeshDaemon({ settings, adapter, log, clock })
  })

  afterEach(() => store.stop())

  /** Duration of the stop since `requestedAt`. */
  async function stopDuration (stopped: Promise<void>, requestedAt: Timestamp): Promise<number> {
    const times: number[] = []
    const ended = stopped.then(() => { times.push(clock.now() - requestedAt) })
    for (let passed = 0; passed < MAXIMUM_WAIT_MS && times.length === 0; passed += STEP_MS) await clock.advance(STEP_MS)
    await ended
    return times[0] ?? Infinity
  }

  it('stops within its limit when the stop is requested while the ports are being opened', async () => {
    const started = daemon.start()
    started.catch(() => undefined)
    await clock.advance(STEP_MS)
    const requestedAt = clock.now()
    const stopped = daemon.stop()
    await clock.advance(STOP_LIMIT_MS * 0.6)
    adapter.openControlPort()
    expect(await stopDuration(stopped, requestedAt)).to.be.at.most(STOP_LIMIT_MS)
  })

  it('stops within its limit when the stop is requested before the first read of the store, which does not respond', async () => {
    store.mode = 'silent'
    adapter.openControlPort()
    daemon.start().catch(() => undefined)
    await clock.advance(STEP_MS)
    const requestedAt = clock.now()
    expect(await stopDuration(daemon.stop(), requestedAt)).to.be.at.most(STOP_LIMIT_MS)
  })

  it('takes changed settings over while its components are being created', async () => {
    daemon.start().catch(() => undefined)
    daemon.reload({ ...settings, mesh: { ...settings.mesh, service: 'other' as ServiceName } })
    adapter.openControlPort()
    await clock.advance(STEP_MS)
    const reloaded = log.events.filter(({ name }) => name === 'settings-reloaded').map(({ fields }) => fields.service)
    expect([reloaded, await stopDuration(daemon.stop(), clock.now()) <= STOP_LIMIT_MS]).to.deep.equal([['other'], true])
  })

  it('reads the settings at most once a second because of reports that contradict them', async () => {
    let reads = 0
    daemon = new MeshDaemon({ settings, adapter, log, clock, readSettings: () => { reads++; return settings } })
    store.mode = 'silent'
    adapter.openControlPort()
    daemon.start().catch(() => undefined)
    await clock.advance(STEP_MS)
    const answers = new Set<string>()
    const sendTwice = async (): Promise<number> => {
      for (const sequence of [1, 2]) await daemon.report(foreignReport(sequence)).catch((error: Error) => answers.add(error.name))
      return reads
    }
    const counts = [await sendTwice()]
    await clock.advance(999)
    counts.push(await sendTwice())
    await clock.advance(1)
    counts.push(await sendTwice())
    expect([counts, [...answers]]).to.deep.equal([[1, 1, 2], ['ForeignReportError']])
    expect(await stopDuration(daemon.stop(), clock.now())).to.be.at.most(STOP_LIMIT_MS)
  })

  it('measures the limit from the first request to stop, and ignores later requests and settings', async () => {
    store.mode = 'silent'
    adapter.openControlPort()
    daemon.start().catch(() => undefined)
    await clock.advance(STEP_MS)
    const requestedAt = clock.now()
    const stopped = daemon.stop()
    await clock.advance(STOP_LIMIT_MS * 0.6)
    daemon.reload({ ...settings, bounds: { ...settings.bounds, stop: MAXIMUM_WAIT_MS as Milliseconds } })
    expect(daemon.stop()).to.equal(stopped)
    expect(await stopDuration(stopped, requestedAt)).to.be.at.most(STOP_LIMIT_MS)
    expect(log.events.filter(({ name }) => name === 'node-stopping').length).to.equal(1)
  })
})

/** A report of a service that does not run on the VM. */
function foreignReport (sequence: number): IEndpointReport {
  return {
    id: 'i-foreign' as EndpointId,
    bornAt: 1,
    sequence,
    service: 'xa0de93' as ServiceName,
    address: '127.0.0.1:9' as NetworkAddress,
    slots: 4,
    phase: 'serving',
    warmUpLeft: 0 as Milliseconds
  }
}

async function freeSettings (store: string): Promise<IMeshSettings> {
  const [caller, gate, peer, ready, control, metrics] = await findFreePorts(6)
  const at = (port: number | undefined): string => `127.0.0.1:${port}`
  return parseMeshSettings('test', [
    '[mesh]', 'node = n', 'failure-domain = z1', 'region = r1', 'service = s', `caller-address = ${at(caller)}`, `gate-address = ${at(gate)}`,
    `peer-address = ${at(peer)}`, `ready-address = ${at(ready)}`, `control-address = ${at(control)}`, `metrics-address = ${at(metrics)}`,
    '[store]', `address = ${store}`, '[bounds]', `stop = ${STOP_LIMIT_MS} ms`, ''
  ].join('\n'))
}
