/** Responses that are copied while they are forwarded. */
import { expect } from 'chai'
import { MAXIMUM_HEAP_GROWTH_BYTES, SMALL_CHUNKS } from '../../testing/SmallChunks.js'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { RecordingSink } from './RecordingSink.js'
import type { IAnswerSink } from './Types.js'

/** Receives a response and keeps nothing of it. */
const DISCARDING_SINK: IAnswerSink = {
  hasBegun: true,
  onDrained: () => ({ dispose: () => undefined }),
  begin: () => undefined,
  write: () => true,
  end: () => undefined,
  abort: () => undefined
}

describe('RecordingSink', () => {
  // Guards against a list of chunks, whose sizes the upstream chooses.
  it('takes memory for the bytes of the copy, not for each chunk', () => {
    const sink = new RecordingSink(DISCARDING_SINK, SMALL_CHUNKS)
    const before = measureUsedHeap()
    sink.begin(200, {})
    for (let count = 0; count < SMALL_CHUNKS; count++) sink.write(Buffer.from('a'))
    expect(measureUsedHeap() - before).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect(sink.response.body?.equals(Buffer.alloc(SMALL_CHUNKS, 'a'))).to.equal(true)
  })

  it('has no copy of a body that exceeds the limit', () => {
    const sink = new RecordingSink(DISCARDING_SINK, 3)
    sink.begin(200, {})
    sink.write(Buffer.from('abc'))
    expect(sink.response.body?.toString()).to.equal('abc')
    sink.write(Buffer.from('d'))
    expect(sink.response.body).to.equal(undefined)
  })
})
