/** Responses that are buffered for embedders. */
import { expect } from 'chai'
import { MAXIMUM_HEAP_GROWTH_BYTES, SMALL_CHUNKS } from '../../testing/SmallChunks.js'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { CollectingSink } from './CollectingSink.js'

describe('CollectingSink', () => {
  // Guards against a list of chunks, whose sizes the upstream chooses.
  it('takes memory for the bytes of a response, not for each chunk', () => {
    const sink = new CollectingSink()
    const before = measureUsedHeap()
    sink.begin(200, {})
    for (let count = 0; count < SMALL_CHUNKS; count++) sink.write(Buffer.from('a'))
    expect(measureUsedHeap() - before).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect(sink.body.equals(Buffer.alloc(SMALL_CHUNKS, 'a'))).to.equal(true)
  })

  it('has no body after it was aborted', () => {
    const sink = new CollectingSink()
    sink.begin(200, {})
    sink.write(Buffer.from('part'))
    sink.abort()
    expect(sink.body.byteLength).to.equal(0)
  })
})
