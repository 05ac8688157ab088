/** Validation of request paths: ambiguous paths are refused before routes are matched. */

/** Maximum length of a path including its query, in characters. */
export const MAXIMUM_PATH_CHARACTERS = 4_096

/** Maximum number of segments of a path. */
const MAXIMUM_SEGMENTS = 64

/** Visible ASCII except backslash and `#`. */
const ALLOWED_PATH = /^\/[!"$-[\]-~]*$/

/** An encoded slash, backslash or control character, or a `%` without two hexadecimal digits. */
const FORBIDDEN_ENCODING = /%(?:2f|5c|0[0-9a-f]|1[0-9a-f]|7f)|%(?![0-9a-f]{2})/i

/** `.` and `..`, also with path parameters. */
const DOT_SEGMENT = /^\.{1,2}(?:;.*)?$/

/**
 * Splits the path of a request target into decoded segments.
 * Returns undefined if an upstream might interpret the path differently from the router.
 */
export function splitPath (target: string): readonly string[] | undefined {
  if (target.length > MAXIMUM_PATH_CHARACTERS || !ALLOWED_PATH.test(target)) return undefined
  const queryAt = target.indexOf('?')
  const path = queryAt < 0 ? target : target.slice(0, queryAt)
  const isEncoded = path.includes('%')
  if (isEncoded && FORBIDDEN_ENCODING.test(path)) return undefined
  const segments = path.slice(1).split('/')
  if (segments.length > MAXIMUM_SEGMENTS) return undefined
  return isEncoded ? decodeSegments(segments) : checkSegments(segments)
}

/** Refuses dot segments and empty segments; a trailing slash is allowed. */
function checkSegments (segments: readonly string[]): readonly string[] | undefined {
  const last = segments.length - 1
  for (let position = 0; position <= last; position++) {
    const segment = segments[position] as string
    if (segment === '' && position < last) return undefined
    if (segment.startsWith('.') && DOT_SEGMENT.test(segment)) return undefined
  }
  return segments
}

/** Decodes each segment, so that `/%61` and `/a` match the same route. */
function decodeSegments (segments: readonly string[]): readonly string[] | undefined {
  try {
    return checkSegments(segments.map((segment) => decodeURIComponent(segment)))
  } catch {
    return undefined
  }
}
