/** Random actions of the document soak, determined by its seed. */
import type { Milliseconds } from '../../src/common/Types.js'
import { domainName } from '../../testing/fleet/FleetShape.js'
import type { Fleet } from '../../testing/fleet/Fleet.js'
import type { FleetNode } from '../../testing/fleet/FleetNode.js'
import type { DocumentSoakModel } from './DocumentSoakModel.js'

const SERVICES = 12
/** Maximum number of nodes that are stopped at the same time. */
const MAXIMUM_MISSING = 4

type Action = () => Promise<void> | void

/** Runs random actions and counts them by name. */
export class DocumentSoakActions {
  public readonly counts = new Map<string, number>()
  private readonly _stopped: FleetNode[] = []
  private readonly _submissions = new Set<Promise<void>>()
  /** Name, weight and implementation of each action. */
  private readonly _actions: ReadonlyArray<readonly [string, number, Action]>

  constructor (private readonly _fleet: Fleet, private readonly _model: DocumentSoakModel) {
    this._actions = [
      ['submit', 10, () => this._startSubmission(() => this._submit())],
      ['race', 4, () => this._startSubmission(() => this._race())],
      ['delete', 1, () => this._startSubmission(() => this._delete())],
      ['kill', 3, () => this._kill()],
      ['leave', 1, () => this._leave()],
      ['restart', 4, () => this._restartOne()],
      ['pause', 3, () => this._pause()],
      ['cut-domain', 1, () => this._fleet.cutDomain(this._randomDomain())],
      ['cut-pair', 2, () => this._cutPair()],
      ['cut-store', 2, () => this._fleet.cutStore(this._randomDomain())],
      ['store-down', 1, () => this._setStore({ isDown: true })],
      ['store-slow', 1, () => this._setStore({ delay: 400 as Milliseconds })],
      ['lost-answers', 2, () => this._setStore({ lostAnswers: 0.4, lostRequests: 0.1 })],
      ['heal-store', 3, () => this._fleet.healStore()],
      ['heal-network', 2, () => this._fleet.shape.healAll()]
    ]
  }

  /** Runs one random action, selected by weight. */
  public async runOne (): Promise<void> {
    const total = this._actions.reduce((sum, [, weight]) => sum + weight, 0)
    let draw = this._fleet.random.integer(total)
    for (const [name, weight, action] of this._actions) {
      draw -= weight
      if (draw >= 0) continue
      this._count(name)
      await action()
      this._model.watchAll()
      return
    }
  }

  /** Resolves when all pending submissions have finished. */
  public async awaitSubmissions (): Promise<void> {
    await Promise.all(this._submissions)
  }

  /** Clears all faults, resumes paused nodes and restarts stopped nodes. */
  public async recover (): Promise<void> {
    this._fleet.heal()
    for (const node of this._fleet.nodes) node.resume()
    while (this._stopped.length > 0) await this._restartOne()
    this._model.watchAll()
  }

  private _count (name: string): void {
    this.counts.set(name, (this.counts.get(name) ?? 0) + 1)
  }

  private _startSubmission (action: () => Promise<void>): void {
    const submission = action().catch(() => this._count('submission-unanswered')).finally(() => this._submissions.delete(submission))
    this._submissions.add(submission)
  }

  private async _submit (): Promise<void> {
    const service = this._randomService()
    const { version } = await this._model.newest(service)
    await this._submitThroughRandomNode(service, version, this._fleet.createText(service))
  }

  /** Two operators submit concurrently against the same version, each through a random node. */
  private async _race (): Promise<void> {
    const service = this._randomService()
    const { version } = await this._model.newest(service)
    const texts = [this._fleet.createText(service), this._fleet.createText(service)]
    await Promise.all(texts.map((text) => this._submitThroughRandomNode(service, version, text)))
  }

  private async _delete (): Promise<void> {
    const service = this._randomService()
    const { version, isTombstone } = await this._model.newest(service)
    if (version > 0 && !isTombstone) await this._submitThroughRandomNode(service, version, undefined)
  }

  private async _submitThroughRandomNode (service: string, expected: number, text: string | undefined): Promise<void> {
    const id = this._fleet.createSubmissionId()
    const outcome = await this._randomNode().submit({ id, service, expected, text }, this._fleet.random.integer(5) === 0)
    this._count(`submission-${outcome.kind}`)
    if (outcome.kind === 'accepted' && !outcome.isRepeat) this._model.recordAccepted(service, outcome.change.version)
  }

  private async _kill (): Promise<void> {
    if (this._stopped.length >= MAXIMUM_MISSING) return
    const node = this._randomNode()
    this._stopped.push(node)
    await this._fleet.kill(node)
  }

  private async _leave (): Promise<void> {
    if (this._stopped.length >= MAXIMUM_MISSING) return
    const node = this._randomNode()
    this._stopped.push(node)
    await this._fleet.stopNode(node)
  }

  private async _restartOne (): Promise<void> {
    const stopped = this._stopped.shift()
    if (stopped !== undefined) await this._fleet.restart(stopped)
  }

  private _pause (): void {
    const node = this._randomNode()
    node.pause()
    this._fleet.clock.after(500 + this._fleet.random.integer(8_000) as Milliseconds, () => node.resume())
  }

  private _cutPair (): void {
    this._fleet.shape.cut(domainName(this._randomDomain()), domainName(this._randomDomain()))
  }

  private _setStore (settings: Parameters<Fleet['storeFaults'][number]['set']>[0]): void {
    for (const faults of this._fleet.storeFaults) faults.set(settings)
  }

  private _randomNode (): FleetNode {
    return this._fleet.nodes[this._fleet.random.integer(this._fleet.nodes.length)]
  }

  private _randomDomain (): number {
    return this._fleet.random.integer(this._fleet.domains)
  }

  private _randomService (): string {
    return `service-${this._fleet.random.integer(SERVICES)}`
  }
}
