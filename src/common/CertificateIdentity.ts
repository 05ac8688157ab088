/** What a certificate says about its holder: a URI among its alternative names. */
import { isName } from './Ids.js'
import type { PeerCertificate } from 'node:tls'
import type { TeamName } from './Types.js'

/**
 * Server name that RPC clients send. Nodes are found by address, an address may not be sent as a server name,
 * and the identity is checked by the URI of the certificate in any case.
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

/** The URI that stands for an identity in a certificate. */
export function toIdentityUri (identity: CertificateIdentity): string {
  return identity.kind === 'node' ? NODE_URI : `${OPERATOR_URI_PREFIX}${identity.team}`
}

/** Reads the identity from `subjectaltname`; undefined unless exactly one is named. */
export function readIdentity (subjectAlternativeName: string | undefined): CertificateIdentity | undefined {
  const names = (subjectAlternativeName ?? '').split(ALTERNATIVE_NAME_SEPARATOR)
  const identities = names
    .filter((name) => name.startsWith(URI_PREFIX))
    .map((name) => parseIdentityUri(name.slice(URI_PREFIX.length)))
    .filter((identity) => identity !== undefined)
  return identities.length === 1 ? identities[0] : undefined
}

/**
 * Undefined if the certificate is a node's; its authority has been checked before. Takes the place of the usual
 * check of the host name, since nodes are found by address and their certificates name no host.
 */
export function checkNodeCertificate (certificate: PeerCertificate): Error | undefined {
  if (readIdentity(certificate.subjectaltname)?.kind === 'node') return undefined
  return new Error('the other side has no node certificate')
}

function parseIdentityUri (uri: string): CertificateIdentity | undefined {
  if (uri === NODE_URI) return { kind: 'node' }
  if (!uri.startsWith(OPERATOR_URI_PREFIX)) return undefined
  const team = uri.slice(OPERATOR_URI_PREFIX.length)
  return isName(team) ? { kind: 'operator', team: team as TeamName } : undefined
}
