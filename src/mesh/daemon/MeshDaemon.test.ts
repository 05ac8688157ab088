/** Stops that come before a node serves. */
import { expect } from 'chai'
import { Adapter } from '../../../platform/Adapter.js'
import type { IService } from '../../common/Services.js'
import type { Milliseconds, Timestamp } from '../../common/Types.js'
import type { IControlPortOptions } from '../Services.js'
import { findFreePorts } from '../../../testing/demonstration/FreePorts.js'
import { ManualClock } from '../../../testing/ManualClock.js'
import { StoreStandIn } from '../../../testing/mesh/StoreStandIn.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { MeshDaemon } from './MeshDaemon.js'
import { parseMeshSettings, type IMeshSettings } from './MeshSettings.js'

const LIMIT_MS = 6_000
const STEP_MS = 50
/** Far longer than a stop. */
const LONGEST_MS = 20_000

/** Its port for reports opens when it is told to. */
class SlowAdapter extends Adapter {
  public open: () => void = () => undefined
  private readonly _opened = new Promise<void>((resolve) => { this.open = resolve })

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
  let adapter: SlowAdapter
  let log: RecordingLog
  let daemon: MeshDaemon

  beforeEach(async () => {
    clock = new ManualClock()
    store = new StoreStandIn()
    adapter = new SlowAdapter()
    log = new RecordingLog()
    await store.start()
    settings = await freeSettings(store.address)
    daemon = new MeshDaemon({ settings, adapter, log, clock })
  })

  afterEach(() => store.stop())

  /** How long the stop took since `askedAt`. */
  async function timeOf (stopped: Promise<void>, askedAt: Timestamp): Promise<number> {
    const times: number[] = []
    const ended = stopped.then(() => { times.push(clock.now() - askedAt) })
    for (let passed = 0; passed < LONGEST_MS && times.length === 0; passed += STEP_MS) await clock.advance(STEP_MS)
    await ended
    return times[0] ?? Infinity
  }

  it('ends within the time for a stop that comes while it opens its ports', async () => {
    const started = daemon.start()
    started.catch(() => undefined)
    await clock.advance(STEP_MS)
    const askedAt = clock.now()
    const stopped = daemon.stop()
    await clock.advance(LIMIT_MS * 0.6)
    adapter.open()
    expect(await timeOf(stopped, askedAt)).to.be.at.most(LIMIT_MS)
  })

  it('ends within the time for a stop that comes before it has read the store, which stays silent', async () => {
    store.mode = 'silent'
    adapter.open()
    daemon.start().catch(() => undefined)
    await clock.advance(STEP_MS)
    const askedAt = clock.now()
    expect(await timeOf(daemon.stop(), askedAt)).to.be.at.most(LIMIT_MS)
  })

  it('takes the time for a stop from the first signal, whatever signals and settings come later', async () => {
    store.mode = 'silent'
    adapter.open()
    daemon.start().catch(() => undefined)
    await clock.advance(STEP_MS)
    const askedAt = clock.now()
    const stopped = daemon.stop()
    await clock.advance(LIMIT_MS * 0.6)
    daemon.reload({ ...settings, bounds: { ...settings.bounds, stop: LONGEST_MS as Milliseconds } })
    expect(daemon.stop()).to.equal(stopped)
    expect(await timeOf(stopped, askedAt)).to.be.at.most(LIMIT_MS)
    expect(log.events.filter(({ name }) => name === 'node-stopping').length).to.equal(1)
  })
})

async function freeSettings (store: string): Promise<IMeshSettings> {
  const [caller, gate, peer, ready, control, metrics] = await findFreePorts(6)
  const at = (port: number | undefined): string => `127.0.0.1:${port}`
  return parseMeshSettings('test', [
    '[mesh]', 'node = n', 'failure-domain = z1', 'region = r1', 'service = s', `caller-address = ${at(caller)}`, `gate-address = ${at(gate)}`,
    `peer-address = ${at(peer)}`, `ready-address = ${at(ready)}`, `control-address = ${at(control)}`, `metrics-address = ${at(metrics)}`,
    '[store]', `address = ${store}`, '[bounds]', `stop = ${LIMIT_MS} ms`, ''
  ].join('\n'))
}
