/** Credentials of the connection to a node. */
import { credentials, type ChannelCredentials } from '@grpc/grpc-js'
import { readFileSync } from 'node:fs'
import { checkNodeCertificate } from '../common/CertificateIdentity.js'
import { UsageError } from './CommandErrors.js'
import type { ICommonOptions } from './Types.js'

/** Plaintext if no key file is given; otherwise all three files are required. */
export function createCredentials (options: ICommonOptions): ChannelCredentials {
  const { certificate, key, authority } = options
  if (certificate === undefined && key === undefined && authority === undefined) return credentials.createInsecure()
  if (certificate === undefined || key === undefined || authority === undefined) {
    throw new UsageError('--certificate, --key and --authority are needed together', { step: 'ctl.keys' })
  }
  return credentials.createSsl(readKeyFile(authority), readKeyFile(key), readKeyFile(certificate), {
    checkServerIdentity: (_host, peer) => checkNodeCertificate(peer)
  })
}

function readKeyFile (file: string): Buffer {
  try {
    return readFileSync(file)
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`, { step: 'ctl.keys', cause: error })
  }
}
