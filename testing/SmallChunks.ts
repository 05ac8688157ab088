/** Chunked bodies in which each chunk has one byte. */

/** Number of bytes, and of chunks, in tests that measure the memory of a body. A list of these chunks takes about 22 MB of heap. */
export const SMALL_CHUNKS = 200_000
/** Maximum growth of the heap, in bytes, while a body of `SMALL_CHUNKS` bytes is held: 20 for each byte. */
export const MAXIMUM_HEAP_GROWTH_BYTES = 20 * SMALL_CHUNKS

/** Chunks of one byte as they are sent, without the last chunk that ends a body. */
export function smallChunks (count: number): string {
  return '1\r\na\r\n'.repeat(count)
}
