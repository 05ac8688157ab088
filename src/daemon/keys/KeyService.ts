/** Keys of the process: credentials for every port, reloaded without dropping a stream. */
import { credentials, experimental, ServerCredentials, status, type ChannelCredentials, type ServerInterceptor, ServerInterceptingCall } from '@grpc/grpc-js'
import type { PeerCertificate } from 'node:tls'
import { checkNodeCertificate, readIdentity, type CertificateIdentity } from '../../common/CertificateIdentity.js'
import { Emitter } from '../../common/Emitter.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IEvent } from '../../common/Types.js'
import { KEYS_REJECTED, KEYS_RELOADED } from '../Events.js'
import { readKeyFiles, type IKeyFileNames, type IKeyMaterial } from './KeyFiles.js'
import { KeyProvider } from './KeyProvider.js'

/** What the key service needs. */
export interface IKeyServiceOptions {
  readonly files: IKeyFileNames
  readonly clock: IClockService
  readonly log: ILogService
}

/** Mutual authentication on the ports of nodes and of operators. */
export class KeyService {
  private readonly _onReloaded = new Emitter<IKeyMaterial>()
  private readonly _provider: KeyProvider
  private _material: IKeyMaterial

  /** Fires with the new keys. */
  public readonly onReloaded: IEvent<IKeyMaterial> = this._onReloaded.event

  /** Throws `KeyFileError` if the files cannot be used. */
  constructor (private readonly _options: IKeyServiceOptions) {
    this._material = readKeyFiles(_options.files, _options.clock.now())
    this._provider = new KeyProvider(this._material)
  }

  /** The present keys, for HTTP servers and clients. */
  public get material (): IKeyMaterial {
    return this._material
  }

  /** Reads the files again; keeps the earlier keys if they cannot be used. */
  public reload (): void {
    try {
      this._material = readKeyFiles(this._options.files, this._options.clock.now())
    } catch (error) {
      this._options.log.log(KEYS_REJECTED, { step: 'keys.reload', message: (error as Error).message })
      return
    }
    this._provider.update(this._material)
    this._onReloaded.fire(this._material)
    this._options.log.log(KEYS_RELOADED)
  }

  /** A server that admits holders of one kind of certificate only. */
  public serverCredentials (kind: CertificateIdentity['kind']): ServerCredentials {
    const secure = experimental.createCertificateProviderServerCredentials(this._provider, this._provider, true)
    return experimental.createServerCredentialsWithInterceptors(secure, [requireIdentity(kind)])
  }

  /** A channel to a node: proves this node's identity and requires the other's. */
  public channelCredentials (): ChannelCredentials {
    return experimental.createCertificateProviderChannelCredentials(this._provider, this._provider, {
      checkServerIdentity: (_host: string, certificate: PeerCertificate) => checkNodeCertificate(certificate)
    })
  }
}

/** Plaintext credentials, for loopback only. */
export const PLAINTEXT = Object.freeze({
  server: (): ServerCredentials => ServerCredentials.createInsecure(),
  channel: (): ChannelCredentials => credentials.createInsecure()
})

/** Refuses every call whose certificate is of another kind. */
function requireIdentity (kind: CertificateIdentity['kind']): ServerInterceptor {
  return (_method, call) => {
    const identity = readIdentity(call.getAuthContext().sslPeerCertificate?.subjectaltname)
    if (identity?.kind === kind) return new ServerInterceptingCall(call)
    return new ServerInterceptingCall(call, {
      // The metadata is not passed on, so the handler of the call never begins.
      start: (next) => next({
        onReceiveMetadata: () => call.sendStatus({ code: status.PERMISSION_DENIED, details: `this port admits ${kind} certificates only` })
      })
    })
  }
}
