/** Guards the request limits of the platform when a thousand nodes start simultaneously. */
import { expect } from 'chai'
import { MetricsService } from '../common/MetricsService.js'
import { RandomService } from '../common/RandomService.js'
import { BootstrapService, type IBootstrapOverlay } from './BootstrapService.js'
import { DirectoryService } from './DirectoryService.js'
import { JoinAdmission } from './JoinAdmission.js'
import { JoinRefusedError, PeerUnreachableError } from './MembershipErrors.js'
import { MembershipService } from './MembershipService.js'
import { DEFAULT_OVERLAY_SETTINGS } from './Options.js'
import { ManualClock } from '../../testing/ManualClock.js'
import { RecordingLog } from '../../testing/RecordingLog.js'
import { CountingObjectStore } from '../../testing/membership/CountingObjectStore.js'
import { createRecord } from '../../testing/membership/Records.js'
import { BOUNDS } from '../../bench/Bounds.js'
import type { Milliseconds, NetworkAddress } from '../common/Types.js'
import type { IPeerLink } from './Services.js'
import type { INodeRecord } from './Types.js'

const NODE_COUNT = 1_000
const DIAL_MS = 2 as Milliseconds

/** Overlay stand-in for one node, with the real join admission but without streams. */
class StubOverlay implements IBootstrapOverlay {
  public links: IPeerLink[] = []
  public readonly admission = new JoinAdmission(DEFAULT_OVERLAY_SETTINGS)

  constructor (
    public readonly self: INodeRecord,
    private readonly _overlaysByAddress: ReadonlyMap<NetworkAddress, StubOverlay>,
    private readonly _clock: ManualClock
  ) {}

  public async contact (address: NetworkAddress): Promise<INodeRecord> {
    await this._clock.sleep(DIAL_MS)
    const target = this._overlaysByAddress.get(address)
    if (target === undefined) throw new PeerUnreachableError('nobody', { step: 'test', peer: address })
    if (!target.admission.admit(this._clock.now())) {
      throw new JoinRefusedError('too many joins', address, target.links.slice(-8).map((link) => link.peer.peerAddress))
    }
    this._link(target)
    target._link(this)
    return target.self
  }

  private _link (other: StubOverlay): void {
    this.links.push({ peer: other.self, isLocal: true } as IPeerLink)
  }
}

describe('BootstrapService', () => {
  it('joins a thousand nodes that start simultaneously within the request limits of the platform, also with a stale directory', async () => {
    const clock = new ManualClock()
    const objects = new CountingObjectStore(clock, 5)
    const seconds: number[] = []
    for (let round = 0; round < 2; round++) {
      const overlays = await startNodes(clock, objects, round)
      const start = clock.now()
      while (overlays.some((overlay) => overlay.links.length === 0)) await clock.advance(500)
      seconds.push((clock.now() - start) / 1_000)
    }
    expect(Math.max(...objects.writesBySecond.values()), 'writes a second').to.be.at.most(BOUNDS.storeWritesPerSecond)
    expect(Math.max(...objects.readsBySecond.values()), 'reads a second').to.be.at.most(BOUNDS.storeReadsPerSecond)
    expect(Math.max(...seconds), 'seconds until all joined').to.be.at.most(60)
  }).timeout(60_000)
})

/** Starts the bootstrap of all nodes of a round; the nodes of earlier rounds no longer run, but are still in the directory. */
async function startNodes (clock: ManualClock, objects: CountingObjectStore, round: number): Promise<readonly StubOverlay[]> {
  const log = new RecordingLog()
  const directory = new DirectoryService({ objects, log })
  const byAddress = new Map<NetworkAddress, StubOverlay>()
  const seeds = new RandomService(round)
  for (let number = 0; number < NODE_COUNT; number++) {
    const self = createRecord(round * NODE_COUNT + number, 0)
    const random = new RandomService(seeds.integer(2 ** 32))
    const membership = new MembershipService({ self, clock, random, log, metrics: new MetricsService() })
    const overlay = new StubOverlay(self, byAddress, clock)
    byAddress.set(self.peerAddress, overlay)
    new BootstrapService({ membership, overlay, directory, clock, random, log }).start()
  }
  return [...byAddress.values()]
}
