/** Cost of concurrent submissions for the store. Runs on a manual clock, so that the figures do not depend on the machine. */
import { RandomService } from '../src/common/RandomService.js'
import type { ILogService } from '../src/common/Services.js'
import type { Milliseconds, ServiceName, SubmissionId } from '../src/common/Types.js'
import { AcceptanceService, type IAcceptanceOptions } from '../src/documents/AcceptanceService.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import type { ISubmission } from '../src/documents/Types.js'
import { writeDocument } from '../testing/documents/DocumentText.js'
import { ManualClock } from '../testing/ManualClock.js'
import { FaultyPlatform } from '../testing/platform/FaultyPlatform.js'
import { advanceUntilSettled } from '../testing/AdvanceUntilSettled.js'
import { BOUNDS } from './Bounds.js'
import type { IBench, IBenchOptions, IFigure } from './Types.js'

const BURSTS = [1, 10, 60, 360]
const QUICK_BURSTS = [1, 10, 60]
/** Duration of a store operation from another region: 8 ms in each direction, and 1 ms in the store. */
const STORE_DELAY = 17 as Milliseconds
/** Baseline: retries immediately. */
const WITHOUT_BACKOFF: Partial<IAcceptanceOptions> = { backoff: 0 as Milliseconds, attempts: 1_000 }
const DISCARDING_LOG: ILogService = { log: () => {} }

/** Submits a burst of new documents concurrently through several nodes. */
class Burst {
  private readonly _clock = new ManualClock()
  private readonly _random: RandomService
  private readonly _platform: FaultyPlatform

  private readonly _nodes: readonly AcceptanceService[]

  constructor (seed: number, nodes: number, options: Partial<IAcceptanceOptions>) {
    this._random = new RandomService(seed)
    this._platform = new FaultyPlatform({ clock: this._clock, random: this._random })
    this._platform.faults.set({ delay: STORE_DELAY })
    const { table, objects } = this._platform
    const services = { table, objects, parser: new DocumentParser(), clock: this._clock, random: this._random, log: DISCARDING_LOG }
    this._nodes = Array.from({ length: nodes }, () => new AcceptanceService(services, options))
  }

  /** Runs the burst and reports its cost. */
  public async run (name: string, size: number, report: (figure: IFigure) => void, isBounded: boolean): Promise<void> {
    const startedAt = this._clock.now()
    const tasks = Array.from({ length: size }, (_, position) => this._submit(this._nodes[position % this._nodes.length], `service-${position}`))
    const outcomes = await advanceUntilSettled(this._clock, Promise.all(tasks))
    const { reads, writes, peakReads, peakWrites } = this._platform.faults.counts
    const bounds = (bound: number): Partial<IFigure> => isBounded ? { bound, direction: 'at-most' } : {}
    report({ name: `${name}-${size}-not-accepted`, value: outcomes.filter((isAccepted) => !isAccepted).length, unit: 'submissions', ...bounds(BOUNDS.none) })
    report({ name: `${name}-${size}-time`, value: this._clock.now() - startedAt, unit: 'ms' })
    report({ name: `${name}-${size}-reads-each`, value: reads / size, unit: 'reads' })
    report({ name: `${name}-${size}-writes-each`, value: writes / size, unit: 'writes' })
    report({ name: `${name}-${size}-peak-reads`, value: peakReads, unit: 'reads/s', ...bounds(BOUNDS.storeReadsPerSecond) })
    report({ name: `${name}-${size}-peak-writes`, value: peakWrites, unit: 'writes/s', ...bounds(BOUNDS.storeWritesPerSecond) })
  }

  /** Whether the document was accepted. */
  private async _submit (node: AcceptanceService, service: string): Promise<boolean> {
    const submission: ISubmission = {
      id: service as SubmissionId, service: service as ServiceName, expected: 'new', text: writeDocument({ service }), author: 'bench'
    }
    const outcome = await node.submit(submission, this._clock.now()).catch(() => undefined)
    return outcome?.kind === 'accepted'
  }
}

/** Measures bursts of different sizes. */
class Acceptance implements IBench {
  public readonly name = 'acceptance'
  public readonly summary = 'Store reads and writes of concurrent submissions, all through one node or each through its own node; baseline: no backoff'

  public async run (options: IBenchOptions, report: (figure: IFigure) => void): Promise<void> {
    for (const size of options.quick ? QUICK_BURSTS : BURSTS) {
      await new Burst(options.seed, 1, {}).run('one-node', size, report, true)
      await new Burst(options.seed, size, {}).run('each-a-node', size, report, true)
      if (options.baseline) await new Burst(options.seed, size, WITHOUT_BACKOFF).run('no-backoff', size, report, false)
    }
  }
}

export const ACCEPTANCE: IBench = new Acceptance()
