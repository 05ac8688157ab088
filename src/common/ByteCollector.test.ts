/** Guards against memory that follows the number of received chunks, which the sender chooses, instead of the number of bytes. */
import { expect } from 'chai'
import fc from 'fast-check'
import { MAXIMUM_HEAP_GROWTH_BYTES, SMALL_CHUNKS } from '../../testing/SmallChunks.js'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { ByteCollector } from './ByteCollector.js'

const SEED = 38
/** Lengths around the capacities of segments. */
const LENGTHS = [0, 1, 2, 63, 64, 65, 127, 128, 129, 4_096, 65_535, 65_536, 65_537, 200_000]
/** Capacity that is reserved for a single byte. */
const MINIMUM_RESERVED_BYTES = 64

/** A collector of `byteLength` bytes that arrived in chunks of `chunkBytes`. */
function collect (byteLength: number, chunkBytes: number): ByteCollector {
  const collector = new ByteCollector()
  for (let position = 0; position < byteLength; position += chunkBytes) {
    collector.append(Buffer.alloc(Math.min(chunkBytes, byteLength - position), 'a'))
  }
  return collector
}

describe('ByteCollector', () => {
  it('returns the bytes of all chunks in order, whatever the sizes of the chunks', () => {
    const chunk = fc.oneof(fc.constantFrom(...LENGTHS), fc.integer({ min: 0, max: 300 })).map((length) => Buffer.alloc(length, `${length},`))
    fc.assert(fc.property(fc.array(chunk, { maxLength: 40 }), fc.nat(40), (chunks, readPosition) => {
      const collector = new ByteCollector()
      for (const [position, each] of chunks.entries()) {
        // Reading in between must not disturb what follows.
        if (position === readPosition) collector.content()
        collector.append(each)
      }
      const expected = Buffer.concat(chunks)
      expect(collector.byteLength).to.equal(expected.byteLength)
      expect(collector.content().equals(expected)).to.equal(true)
    }), { seed: SEED, numRuns: 200 })
  })

  it('does not change a content that was returned before', () => {
    const collector = collect(3, 1)
    const content = collector.content()
    collector.append(Buffer.from('bcd'))
    expect([content.toString(), collector.content().toString()]).to.deep.equal(['aaa', 'aaabcd'])
  })

  it('reserves at most twice the memory of the bytes for every length and chunk size', () => {
    const wrong: string[] = []
    for (const byteLength of LENGTHS) {
      for (const chunkBytes of [1, 7, 64, 1_000, 65_536]) {
        const { reservedBytes } = collect(byteLength, chunkBytes)
        if (reservedBytes < byteLength || reservedBytes > Math.max(MINIMUM_RESERVED_BYTES, 2 * byteLength)) wrong.push(`${byteLength} by ${chunkBytes}: ${reservedBytes}`)
      }
    }
    expect(wrong).to.deep.equal([])
  })

  it('keeps neither the chunks nor the buffers that they are parts of', () => {
    const before = measureUsedHeap()
    const collector = collect(SMALL_CHUNKS, 1)
    expect(measureUsedHeap() - before).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    const received = Buffer.alloc(65_536)
    const single = new ByteCollector()
    single.append(received.subarray(0, 1))
    expect([collector.byteLength, single.content().buffer === received.buffer]).to.deep.equal([SMALL_CHUNKS, false])
  })

  it('holds no memory after it was cleared', () => {
    const collector = collect(1_000, 10)
    collector.clear()
    expect([collector.byteLength, collector.reservedBytes, collector.content().byteLength]).to.deep.equal([0, 0, 0])
  })
})
