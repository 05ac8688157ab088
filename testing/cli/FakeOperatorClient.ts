/** An operator client whose replies are set by a test. */
import type { IOperatorClient } from '../../src/cli/Services.js'
import type { ReceivedChange } from '../../src/generated/savoryknot/Change.js'
import type { ReceivedSubmitReply } from '../../src/generated/savoryknot/SubmitReply.js'
import type { SubmitRequest } from '../../src/generated/savoryknot/SubmitRequest.js'
import type { ReceivedStatusReply } from '../../src/generated/savoryknot/StatusReply.js'

/** A change as a node would report it. */
export function changeOf (version: number): ReceivedChange {
  return {
    service: 'status', version, hash: '0'.repeat(64), isTombstone: false, sequence: version, author: 'altan', acceptedAt: 1_764_800_000_000
  }
}

/** Records submissions instead of sending them to a node. */
export class FakeOperatorClient implements IOperatorClient {
  public readonly submissions: SubmitRequest[] = []
  public submitReply: ReceivedSubmitReply = { kind: 'accepted', change: changeOf(1), isRepeat: false, faults: [], message: '' }
  /** Replies in this order; the last one is repeated. */
  public statusReplies: ReceivedStatusReply[] = [{ services: [], isConfirmedByStore: true }]
  public texts: readonly string[] = []

  public async submit (request: SubmitRequest): Promise<ReceivedSubmitReply> {
    this.submissions.push(request)
    return this.submitReply
  }

  public async show (_service: string, version: number) {
    const text = this.texts[version === 0 ? this.texts.length - 1 : version - 1]
    return text === undefined ? { change: null, text: '' } : { change: changeOf(version === 0 ? this.texts.length : version), text }
  }

  public async history () {
    return { changes: this.texts.map((_, index) => changeOf(index + 1)).reverse() }
  }

  public async status (): Promise<ReceivedStatusReply> {
    const [first, ...rest] = this.statusReplies
    if (rest.length > 0) this.statusReplies = rest
    return first as ReceivedStatusReply
  }

  public async endpoints () {
    return {
      endpoints: [{
        service: 'fees', endpoint: 'fees-1', node: 'a1', failureDomain: 'darkhan-1', gateAddress: '10.0.0.7:7401', state: 'serving', slots: 9, isReachable: true
      }]
    }
  }

  public async nodes () {
    return { nodes: [], answeredBy: 'a1', catchUpSource: 'store' }
  }

  public async burn () {
    const windows = [{ windowMs: 300_000, good: 98, bad: 2, burnRate: 20 }, { windowMs: 3_600_000, good: 998, bad: 2, burnRate: 2 }]
    return { reports: [{ service: 'fees', failureDomain: 'darkhan-1', objective: 99.9, windows }] }
  }

  public close (): void {}
}
