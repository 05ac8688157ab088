/** Key files for tests, created in a new temporary directory for each test run. */
import { mkdtemp, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { CertificateIdentity } from '../../src/common/CertificateIdentity.js'
import type { Timestamp } from '../../src/common/Types.js'
import { createAuthority, createCertificate, type ICertificateWithKey } from '../../src/cli/keys/CertificateFactory.js'
import type { IKeyFileNames } from '../../src/daemon/keys/KeyFiles.js'

const VALIDITY_DAYS = 1

/** A certificate authority and the certificates that it signed, written to files. */
export class TestKeys {
  private constructor (private readonly _folder: string, private readonly _issuer: ICertificateWithKey, private readonly _now: Timestamp) {}

  public static async create (now: Timestamp): Promise<TestKeys> {
    return new TestKeys(await mkdtemp(join(tmpdir(), 'savoryknot-keys-')), await createAuthority(now, VALIDITY_DAYS), now)
  }

  /** Writes a certificate with its key; the certificate is expired if `issuedAt` is more than `VALIDITY_DAYS` ago. */
  public async issue (name: string, identity: CertificateIdentity, issuedAt: Timestamp = this._now): Promise<IKeyFileNames> {
    const pair = await createCertificate(this._issuer, identity, issuedAt, VALIDITY_DAYS)
    const names = this.namesOf(name)
    await writeFile(names.certificate, pair.certificate)
    await writeFile(names.key, pair.key)
    await writeFile(names.authority, this._issuer.certificate)
    return names
  }

  /** Paths of the key files of the certificate holder `name`. */
  public namesOf (name: string): IKeyFileNames {
    const path = join(this._folder, name)
    return { certificate: `${path}.pem`, key: `${path}.key`, authority: join(this._folder, 'authority.pem') }
  }
}
