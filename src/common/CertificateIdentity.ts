/** What a certificate says about its holder: a URI among its alternative names. */
import { isName } from './Ids.js'
import type { TeamName } from './Types.js'

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

function parseIdentityUri (uri: string): CertificateIdentity | undefined {
  if (uri === NODE_URI) return { kind: 'node' }
  if (!uri.startsWith(OPERATOR_URI_PREFIX)) return undefined
  const team = uri.slice(OPERATOR_URI_PREFIX.length)
  return isName(team) ? { kind: 'operator', team: team as TeamName } : undefined
}
