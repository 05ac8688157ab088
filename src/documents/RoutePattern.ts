/** Parses the method, path and references of a route. */
import { isName } from '../common/Ids.js'
import type { ResourceName, ServiceName } from '../common/Types.js'
import type { IResourceReference } from './Types.js'

/** Maximum length of a route's path in characters. */
export const MAXIMUM_PATH_CHARACTERS = 512

const METHODS = ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']
/** Unreserved and sub-delimiter characters of a URL, without `*`, which marks a pattern, and `;`, which starts a comment. */
const SEGMENT_PATTERN = /^[A-Za-z0-9._~!$&'()+,=:@-]+$/

/** The method, or undefined if `text` is not a method. */
export function parseMethod (text: string): string | undefined {
  return text === '*' || METHODS.includes(text) ? text : undefined
}

/** The path, or undefined if `text` is not a valid path of a route. */
export function parsePath (text: string): string | undefined {
  if (!text.startsWith('/') || text.length > MAXIMUM_PATH_CHARACTERS) return undefined
  const segments = text.slice(1).split('/')
  const isValid = segments.every((segment, position) => isSegment(segment, position === segments.length - 1))
  return isValid ? text : undefined
}

/** Only the last segment may be empty, which stands for a final slash, or `**`. */
function isSegment (segment: string, isLast: boolean): boolean {
  if (segment === '' || segment === '**') return isLast
  // Dot segments are refused, because clients and servers resolve them differently.
  if (segment === '.' || segment === '..') return false
  return segment === '*' || SEGMENT_PATTERN.test(segment)
}

/** The reference, or undefined if `text` is not `service/resource`. */
export function parseReference (text: string): IResourceReference | undefined {
  const parts = text.split('/')
  if (parts.length !== 2 || !parts.every(isName)) return undefined
  return { service: parts[0] as ServiceName, resource: parts[1] as ResourceName }
}
