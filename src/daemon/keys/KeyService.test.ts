/** Admission to each port by certificate, and key changes while streams are open. */
import { credentials, Server, type ChannelCredentials } from '@grpc/grpc-js'
import { expect } from 'chai'
import { readFileSync, writeFileSync } from 'node:fs'
import { ClockService } from '../../common/ClockService.js'
import { hashContent } from '../../common/Ids.js'
import { MetricsService } from '../../common/MetricsService.js'
import { RandomService } from '../../common/RandomService.js'
import type { Milliseconds, NetworkAddress, TeamName, Timestamp } from '../../common/Types.js'
import { OperatorClient } from '../../cli/OperatorClient.js'
import { AcceptanceService } from '../../documents/AcceptanceService.js'
import { AcceptedDocuments } from '../../documents/AcceptedDocuments.js'
import { DocumentParser } from '../../documents/DocumentParser.js'
import { EmbeddedObjectStore } from '../../platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../../platform/EmbeddedTableService.js'
import { GrpcPeerTransport } from '../../membership/GrpcPeerTransport.js'
import { RecordingLog } from '../../../testing/RecordingLog.js'
import { TestKeys } from '../../../testing/daemon/TestKeys.js'
import { findFreePorts } from '../../../testing/demonstration/FreePorts.js'
import { CertificateAuthentication } from '../OperatorAuthentication.js'
import { OperatorHandlers, type IOperatorHandlersOptions } from '../OperatorHandlers.js'
import { OperatorService } from '../OperatorService.js'
import { KeyService } from './KeyService.js'
import type { IKeyFileNames } from './KeyFiles.js'

const ANY_PORT = '127.0.0.1:0' as NetworkAddress
const DAY_MS = 86_400_000
const DOCUMENT = readFileSync('examples/tsagaan/status.ini', 'utf8')

/** Starts an operator port that uses the embedded platform. */
async function startOperatorPort (keys: KeyService, log: RecordingLog): Promise<{ address: NetworkAddress, service: OperatorService }> {
  const clock = new ClockService()
  const platform = { table: new EmbeddedTableService(), objects: new EmbeddedObjectStore() }
  const [port] = await findFreePorts(1)
  const address = `127.0.0.1:${port}` as NetworkAddress
  const acceptance = new AcceptanceService({ ...platform, parser: new DocumentParser(), clock, random: new RandomService(1), log })
  const handlers = new OperatorHandlers({
    acceptance, accepted: new AcceptedDocuments(platform), listener: { recordAccepted: () => {} }
  } as unknown as IOperatorHandlersOptions)
  const service = new OperatorService({
    address, credentials: keys.serverCredentials('operator'), authentication: new CertificateAuthentication(), handlers, clock, log
  })
  await service.start()
  return { address, service }
}

/** Channel credentials with the given authority; with a client certificate only if `showsCertificate`. */
function channelOf (files: IKeyFileNames, showsCertificate = true): ChannelCredentials {
  const own = showsCertificate ? [readFileSync(files.key), readFileSync(files.certificate)] : [undefined, undefined]
  return credentials.createSsl(readFileSync(files.authority), own[0], own[1], { checkServerIdentity: () => undefined })
}

/** Submits the document; returns the kind of the reply or the name of the error. */
async function submitWith (
  address: NetworkAddress, channel: ChannelCredentials, expectedVersion: number, text = DOCUMENT
): Promise<string> {
  const client = new OperatorClient({ node: address, credentials: channel })
  try {
    const submissionId = hashContent(`${expectedVersion}${text}`)
    const reply = await client.submit({ submissionId, service: 'status', expectedVersion, text, author: 'test' })
    return reply.kind === 'forbidden' ? `forbidden: ${reply.message}` : reply.kind
  } catch (error) {
    return (error as Error).name
  } finally {
    client.close()
  }
}

describe('KeyService', () => {
  const now = Date.now() as Timestamp
  const log = new RecordingLog()
  let keys: TestKeys
  let other: TestKeys
  let node: KeyService

  before(async () => {
    keys = await TestKeys.create(now)
    other = await TestKeys.create(now)
    node = new KeyService({ files: await keys.issue('node', { kind: 'node' }), clock: new ClockService(), log })
  })

  it('admits only operators to the operator port, and only the owning team to a document', async () => {
    const { address, service } = await startOperatorPort(node, log)
    const issue = (from: TestKeys, team: string, issuedAt = now) => from.issue(team, { kind: 'operator', team: team as TeamName }, issuedAt)
    const permits = channelOf(await issue(keys, 'permits'))
    const changed = DOCUMENT.replace('800 ms', '700 ms')
    const results = {
      noCertificate: await submitWith(address, channelOf(keys.namesOf('node'), false), 0),
      plaintext: await submitWith(address, credentials.createInsecure(), 0),
      wrongAuthority: await submitWith(address, channelOf(await issue(other, 'permits')), 0),
      expired: await submitWith(address, channelOf(await issue(keys, 'late', now - 3 * DAY_MS as Timestamp)), 0),
      nodeCertificate: await submitWith(address, channelOf(keys.namesOf('node')), 0),
      owner: await submitWith(address, permits, 0),
      anotherTeam: await submitWith(address, channelOf(await issue(keys, 'bakers')), 1, changed),
      ownerAgain: await submitWith(address, permits, 1, changed)
    }
    await service.stop()
    expect(results).toMatchSnapshot()
  })

  it('admits only nodes as clients and servers of the peer port', async () => {
    const operator = channelOf(await keys.issue('permits', { kind: 'operator', team: 'permits' as TeamName }))
    const common = { clock: new ClockService(), log, metrics: new MetricsService() }
    const transport = new GrpcPeerTransport({ ...common, address: ANY_PORT, serverCredentials: node.serverCredentials('node') })
    const address = await transport.bind()
    let accepted = 0
    await transport.listen(() => { accepted++ })
    const dial = async (channelCredentials: ChannelCredentials): Promise<string> => {
      const dialer = createDialer(channelCredentials)
      try {
        const channel = await dialer.dial(address)
        channel.send({ ping: { number: 1 } })
        await new Promise<void>((resolve) => {
          channel.onClosed(resolve)
          setTimeout(resolve, 100)
        })
        return 'dialled'
      } catch (error) {
        return (error as Error).name
      } finally {
        await dialer.close()
      }
    }
    await dial(operator)
    await dial(channelOf(await other.issue('node', { kind: 'node' })))
    await dial(credentials.createInsecure())
    expect(accepted).to.equal(0)
    await dial(node.channelCredentials())
    expect(accepted).to.equal(1)
    await transport.close()
    const impostor = await startImpostor(keys)
    const toImpostor = createDialer(node.channelCredentials())
    const refusal = await toImpostor.dial(impostor.address).then(() => 'dialled', (error: Error) => error.name)
    await toImpostor.close()
    impostor.server.forceShutdown()
    expect(refusal).to.equal('PeerUnreachableError')
  })

  it('reloads new keys, and keeps the previous ones if the new ones are invalid', async () => {
    const files = await keys.issue('changing', { kind: 'node' })
    const service = new KeyService({ files, clock: new ClockService(), log })
    const first = service.material.certificate
    await keys.issue('changing', { kind: 'node' })
    service.reload()
    const second = service.material.certificate
    expect(second.equals(first)).to.equal(false)
    writeFileSync(files.key, 'not a key')
    service.reload()
    expect(service.material.certificate.equals(second)).to.equal(true)
    expect(log.events.map((event) => event.name)).to.include.members(['keys-reloaded', 'keys-rejected'])
  })

  it('accepts certificates of both authorities if the authority file contains both', async () => {
    const old = await keys.issue('old', { kind: 'node' })
    const renewed = await other.issue('renewed', { kind: 'node' })
    const bundle = `${renewed.authority}.both`
    writeFileSync(bundle, readFileSync(old.authority, 'utf8') + readFileSync(renewed.authority, 'utf8'))
    const reasons = [old, renewed].map((files) => refusalOf({ ...files, authority: bundle }))
    expect(reasons.every((reason) => reason.startsWith('accepted'))).to.equal(true)
  })

  it('refuses key files that do not match', async () => {
    const good = await keys.issue('good', { kind: 'node' })
    const foreign = await other.issue('foreign', { kind: 'node' })
    const operator = await keys.issue('operator', { kind: 'operator', team: 'permits' as TeamName })
    const expired = await keys.issue('expired', { kind: 'node' }, now - 3 * DAY_MS as Timestamp)
    const cases = {
      missing: { ...good, key: `${good.key}.none` },
      otherKey: { ...good, key: operator.key },
      otherAuthority: { ...good, authority: foreign.authority },
      operator,
      expired,
      noCertificate: { ...good, certificate: good.key }
    }
    const reasons = Object.entries(cases).map(([name, names]) => [name, refusalOf(names)])
    expect(Object.fromEntries(reasons)).toMatchSnapshot()
  })

  function createDialer (channelCredentials: ChannelCredentials): GrpcPeerTransport {
    const common = { clock: new ClockService(), log, metrics: new MetricsService() }
    return new GrpcPeerTransport({ ...common, channelCredentials, address: ANY_PORT, dialTimeout: 500 as Milliseconds })
  }

  /** Message of the error, without the folder of the files; starts with `accepted` if there is none. */
  function refusalOf (files: IKeyFileNames): string {
    try {
      return `accepted ${new KeyService({ files, clock: new ClockService(), log }).material.certificate.length}`
    } catch (error) {
      return (error as Error).message.replace(/\S*\/savoryknot-keys-[^/]*\//g, '').replace(/ at .*| '.*/, '')
    }
  }
})

/** Starts a server with a certificate of the right authority that is not a node certificate. */
async function startImpostor (keys: TestKeys): Promise<{ server: Server, address: NetworkAddress }> {
  const files = await keys.issue('impostor', { kind: 'operator', team: 'permits' as TeamName })
  const { ServerCredentials } = await import('@grpc/grpc-js')
  const server = new Server()
  const pair = { private_key: readFileSync(files.key), cert_chain: readFileSync(files.certificate) }
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', ServerCredentials.createSsl(readFileSync(files.authority), [pair], false), (error, boundPort) => error === null ? resolve(boundPort) : reject(error))
  })
  return { server, address: `127.0.0.1:${port}` as NetworkAddress }
}
