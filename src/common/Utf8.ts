/** Strict decoding of UTF-8. */

const DECODER = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true })

/** Decodes bytes without any replacement. Throws `TypeError` if they are not UTF-8. */
export function decodeUtf8 (bytes: Uint8Array): string {
  return DECODER.decode(bytes)
}
