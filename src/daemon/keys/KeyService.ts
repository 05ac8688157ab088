/** Keys of the process: credentials for every port, reloaded without closing open streams. */
import { credentials, experimental, ServerCredentials, status, type ChannelCredentials, type ServerInterceptor, ServerInterceptingCall } from '@grpc/grpc-js'
import type { PeerCertificate } from 'node:tls'
import { checkNodeCertificate, readIdentity, type CertificateIdentity } from '../../common/CertificateIdentity.js'
import { Emitter } from '../../common/Emitter.js'
import type { IClockService, ILogService } from '../../common/Services.js'
import type { IEvent } from '../../common/Types.js'
import { KEYS_REJECTED, KEYS_RELOADED } from '../Events.js'
import { readKeyFiles, type IKeyFileNames, type IKeyMaterial } from './KeyFiles.js'
import { KeyProvider } from './KeyProvider.js'

/** Dependencies of the key service. */
export interface IKeyServiceOptions {
  readonly files: IKeyFileNames
  readonly clock: IClockService
  readonly log: ILogService
}

/** Mutual TLS authentication on the ports for nodes and operators. */
export class KeyService {
  private readonly _onReloaded = new Emitter<IKeyMaterial>()
  private readonly _provider: KeyProvider
  private _material: IKeyMaterial

  /** Fires with the new keys after each successful reload. */
  public readonly onReloaded: IEvent<IKeyMaterial> = this._onReloaded.event

  /** Throws `KeyFileError` if the files cannot be used. */
  constructor (private readonly _options: IKeyServiceOptions) {
    this._material = readKeyFiles(_options.files, _options.clock.now())
    this._provider = new KeyProvider(this._material)
  }

  /** The current keys, for HTTP servers and clients. */
  public get material (): IKeyMaterial {
    return this._material
  }

  /** Reads the files again; keeps the previous keys if the new ones are invalid. */
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

  /** Server credentials that admit only clients with one kind of certificate. */
  public serverCredentials (kind: CertificateIdentity['kind']): ServerCredentials {
    const secure = experimental.createCertificateProviderServerCredentials(this._provider, this._provider, true)
    return experimental.createServerCredentialsWithInterceptors(secure, [requireIdentity(kind)])
  }

  /** Channel credentials for connections to nodes: send the certificate of this node and require one of a node. */
  public channelCredentials (): ChannelCredentials {
    return experimental.createCertificateProviderChannelCredentials(this._provider, this._provider, {
      checkServerIdentity: (_host: string, certificate: PeerCertificate) => checkNodeCertificate(certificate)
    })
  }
}

/** Plaintext credentials, for loopback addresses only. */
export const PLAINTEXT = Object.freeze({
  server: (): ServerCredentials => ServerCredentials.createInsecure(),
  channel: (): ChannelCredentials => credentials.createInsecure()
})

/** Refuses every call whose client certificate is of another kind. */
function requireIdentity (kind: CertificateIdentity['kind']): ServerInterceptor {
  return (_method, call) => {
    const identity = readIdentity(call.getAuthContext().sslPeerCertificate?.subjectaltname)
    if (identity?.kind === kind) return new ServerInterceptingCall(call)
    return new ServerInterceptingCall(call, {
      // The metadata is not passed to the handler of the call, so the handler never starts.
      start: (next) => next({
        onReceiveMetadata: () => call.sendStatus({ code: status.PERMISSION_DENIED, details: `this port admits ${kind} certificates only` })
      })
    })
  }
}
