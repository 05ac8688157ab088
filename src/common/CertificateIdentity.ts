/** Identity of a certificate holder, given by a URI among the subject alternative names. */
import { isName } from './Ids.js'
import type { PeerCertificate } from 'node:tls'
import type { TeamName } from './Types.js'

/**
 * Server name (SNI) that RPC clients send. Nodes are connected to by IP address, which must not be sent as a server name; the
 * identity is verified by the URI of the certificate in any case.
 */
export const NODE_SERVER_NAME = 'node.savoryknot'

const NODE_URI = 'savoryknot://node'
const OPERATOR_URI_PREFIX = 'savoryknot://operator/'
const ALTERNATIVE_NAME_SEPARATOR = ', '
const URI_PREFIX = 'URI:'

/** Holder of a certificate. */
export type CertificateIdentity =
  | { readonly kind: 'node' }
  | { readonly kind: 'operator', readonly team: TeamName }

/** Returns the URI that represents an identity in a certificate. */
export function toIdentityUri (identity: CertificateIdentity): string {
  return identity.kind === 'node' ? NODE_URI : `${OPERATOR_URI_PREFIX}${identity.team}`
}

/** Reads the identity from `subjectaltname`; undefined unless it contains exactly one identity. */
export function readIdentity (subjectAlternativeName: string | undefined): CertificateIdentity | undefined {
  const names = (subjectAlternativeName ?? '').split(ALTERNATIVE_NAME_SEPARATOR)
  const identities = names
    .filter((name) => name.startsWith(URI_PREFIX))
    .map((name) => parseIdentityUri(name.slice(URI_PREFIX.length)))
    .filter((identity) => identity !== undefined)
  return identities.length === 1 ? identities[0] : undefined
}

/**
 * Verifies that a certificate belongs to a node; returns undefined if it does. The certificate chain has been verified before.
 * Replaces the usual host name check, since nodes are connected to by address and their certificates contain no host name.
 */
export function checkNodeCertificate (certificate: PeerCertificate): Error | undefined {
  if (readIdentity(certificate.subjectaltname)?.kind === 'node') return undefined
  return new Error('peer certificate is not a node certificate')
}

function parseIdentityUri (uri: string): CertificateIdentity | undefined {
  if (uri === NODE_URI) return { kind: 'node' }
  if (!uri.startsWith(OPERATOR_URI_PREFIX)) return undefined
  const team = uri.slice(OPERATOR_URI_PREFIX.length)
  return isName(team) ? { kind: 'operator', team: team as TeamName } : undefined
}
