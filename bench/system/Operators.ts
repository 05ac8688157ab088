/** Two operators that continuously submit conflicting changes of the same document. */
import { credentials } from '@grpc/grpc-js'
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { createSubmissionId } from '../../src/common/Ids.js'
import type { IRandomService } from '../../src/common/Services.js'
import { OperatorClient } from '../../src/cli/OperatorClient.js'
import type { Deployment } from '../../testing/demonstration/Deployment.js'
import { REPOSITORY } from '../../testing/demonstration/Repository.js'

const SERVICE = 'status'
const PAUSE_MS = 700
const MINIMUM_DEADLINE_MS = 500

/** Counts the replies that the operators received. */
export class Operators {
  public accepted = 0
  public conflicts = 0
  public failedSubmissions = 0
  /** Number of times that two submissions were accepted as the same version, which must never happen. */
  public duplicateVersions = 0
  private readonly _versions = new Set<number>()
  private _isStopped = false
  private _loops: Promise<void> | undefined

  constructor (private readonly _deployment: Deployment, private readonly _random: IRandomService) {}

  public async start (): Promise<void> {
    const text = await readFile(join(REPOSITORY, 'examples/tsagaan/status.ini'), 'utf8')
    this._loops = Promise.all([this._edit(text, 'first'), this._edit(text, 'second')]).then(() => {})
  }

  public async stop (): Promise<void> {
    this._isStopped = true
    await this._loops
  }

  private async _edit (text: string, author: string): Promise<void> {
    while (!this._isStopped) {
      const client = this._connect()
      await this._submit(client, text, author).catch(() => { this.failedSubmissions++ })
      client.close()
      await new Promise((resolve) => setTimeout(resolve, this._random.integer(PAUSE_MS)))
    }
  }

  private async _submit (client: OperatorClient, text: string, author: string): Promise<void> {
    const current = await client.show(SERVICE, 0)
    const changed = text.replace('deadline = 800 ms', `deadline = ${MINIMUM_DEADLINE_MS + this._random.integer(MINIMUM_DEADLINE_MS)} ms`)
    const expectedVersion = current.change?.version ?? 0
    const reply = await client.submit({ submissionId: createSubmissionId(), service: SERVICE, expectedVersion, text: changed, author })
    if (reply.kind === 'conflict') this.conflicts++
    if (reply.kind === 'accepted' && reply.change !== null) this._recordAccepted(reply.change.version, reply.isRepeat)
  }

  private _recordAccepted (version: number, isRepeat: boolean): void {
    this.accepted++
    if (this._versions.has(version) && !isRepeat) this.duplicateVersions++
    this._versions.add(version)
  }

  private _connect (): OperatorClient {
    const { nodes } = this._deployment
    const node = nodes[this._random.integer(nodes.length)]?.operatorAddress ?? ''
    return new OperatorClient({ node, credentials: credentials.createInsecure() })
  }
}
