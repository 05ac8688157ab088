/** Reads and validates the certificate, key and authority files of a process. */
import { createPrivateKey, X509Certificate } from 'node:crypto'
import { readFileSync } from 'node:fs'
import { readIdentity } from '../../common/CertificateIdentity.js'
import type { Timestamp } from '../../common/Types.js'
import { KeyFileError } from './KeyErrors.js'

const CERTIFICATE_PATTERN = /-----BEGIN CERTIFICATE-----[^-]+-----END CERTIFICATE-----/g

/** Names of the PEM files. */
export interface IKeyFileNames {
  readonly certificate: string
  readonly key: string
  readonly authority: string
}

/** Validated contents of the files. */
export interface IKeyMaterial {
  readonly certificate: Buffer
  readonly key: Buffer
  readonly authority: Buffer
}

/** Reads the files. Throws `KeyFileError` if they cannot be used as a node's keys. */
export function readKeyFiles (names: IKeyFileNames, now: Timestamp): IKeyMaterial {
  const material = {
    certificate: readKeyFile(names.certificate),
    key: readKeyFile(names.key),
    authority: readKeyFile(names.authority)
  }
  validateMaterial(names, material, now)
  return material
}

function readKeyFile (file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (error) {
    throw new KeyFileError(`${file}: ${(error as Error).message}`, { step: 'keys.read', cause: error })
  }
}

function validateMaterial (names: IKeyFileNames, material: IKeyMaterial, now: Timestamp): void {
  const certificate = parseCertificate(names.certificate, material.certificate)
  const authorities = parseAuthorities(names.authority, material.authority)
  if (!isKeyOf(certificate, material.key)) throw invalidFileError(names.key, 'is not the key of the certificate')
  const isSigned = authorities.some((authority) => certificate.verify(authority.publicKey))
  if (!isSigned) throw invalidFileError(names.certificate, 'is not signed by the authority')
  if (now < Date.parse(certificate.validFrom)) throw invalidFileError(names.certificate, `is not valid before ${certificate.validFrom}`)
  if (now > Date.parse(certificate.validTo)) throw invalidFileError(names.certificate, `expired at ${certificate.validTo}`)
  if (readIdentity(certificate.subjectAltName)?.kind !== 'node') throw invalidFileError(names.certificate, 'is not a node certificate')
}

/** Parses all certificates in the file. During a change of the authority, it contains the old and the new certificate. */
function parseAuthorities (file: string, content: Buffer): readonly X509Certificate[] {
  const parts = content.toString('latin1').match(CERTIFICATE_PATTERN) ?? ['']
  return parts.map((part) => parseCertificate(file, Buffer.from(part)))
}

function parseCertificate (file: string, content: Buffer): X509Certificate {
  try {
    return new X509Certificate(content)
  } catch (error) {
    throw new KeyFileError(`${file}: is not a certificate in PEM`, { step: 'keys.check', cause: error })
  }
}

function isKeyOf (certificate: X509Certificate, key: Buffer): boolean {
  try {
    return certificate.checkPrivateKey(createPrivateKey(key))
  } catch {
    return false
  }
}

function invalidFileError (file: string, reason: string): KeyFileError {
  return new KeyFileError(`${file}: ${reason}`, { step: 'keys.check' })
}
