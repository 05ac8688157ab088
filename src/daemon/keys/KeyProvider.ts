/** Provides the current keys to RPC servers and channels, and the new ones after a reload. */
import type { experimental } from '@grpc/grpc-js'
import type { IKeyMaterial } from './KeyFiles.js'

type CaCertificateUpdateListener = Parameters<experimental.CertificateProvider['addCaCertificateListener']>[0]
type IdentityCertificateUpdateListener = Parameters<experimental.CertificateProvider['addIdentityCertificateListener']>[0]

/** Passes the current keys to each new listener, and every update to all listeners. */
export class KeyProvider implements experimental.CertificateProvider {
  private readonly _authorityListeners = new Set<CaCertificateUpdateListener>()
  private readonly _identityListeners = new Set<IdentityCertificateUpdateListener>()

  constructor (private _material: IKeyMaterial) {}

  /** Replaces the keys for new connections; open streams keep theirs. */
  public update (material: IKeyMaterial): void {
    this._material = material
    for (const listener of this._authorityListeners) this._notifyAuthority(listener)
    for (const listener of this._identityListeners) this._notifyIdentity(listener)
  }

  public addCaCertificateListener (listener: CaCertificateUpdateListener): void {
    this._authorityListeners.add(listener)
    process.nextTick(() => this._notifyAuthority(listener))
  }

  public removeCaCertificateListener (listener: CaCertificateUpdateListener): void {
    this._authorityListeners.delete(listener)
  }

  public addIdentityCertificateListener (listener: IdentityCertificateUpdateListener): void {
    this._identityListeners.add(listener)
    process.nextTick(() => this._notifyIdentity(listener))
  }

  public removeIdentityCertificateListener (listener: IdentityCertificateUpdateListener): void {
    this._identityListeners.delete(listener)
  }

  private _notifyAuthority (listener: CaCertificateUpdateListener): void {
    if (this._authorityListeners.has(listener)) listener({ caCertificate: this._material.authority })
  }

  private _notifyIdentity (listener: IdentityCertificateUpdateListener): void {
    if (!this._identityListeners.has(listener)) return
    listener({ certificate: this._material.certificate, privateKey: this._material.key })
  }
}
