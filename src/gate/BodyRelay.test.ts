/** Request bodies on their way between a sender and a slower reader. */
import { expect } from 'chai'
import fc from 'fast-check'
import { PassThrough, Readable } from 'node:stream'
import { setImmediate } from 'node:timers/promises'
import { measureUsedHeap } from '../../testing/UsedHeap.js'
import { BodyRelay } from './BodyRelay.js'

const SEED = 38
/** Maximum growth of the heap, in bytes, while a body waits for its reader. Queues of 16 KiB in chunks of one byte take 3 MB each. */
const MAXIMUM_HEAP_GROWTH_BYTES = 1_000_000

/** Writes one byte at a time until the source is paused for `idleRounds` iterations of the event loop, or has all bytes. */
async function writeUntilPaused (source: PassThrough, bytes: number): Promise<number> {
  let written = 0
  while (written < bytes) {
    const isPaused = !source.write('a')
    written++
    if (!isPaused) continue
    await setImmediate()
    if (source.writableNeedDrain) return written
  }
  return written
}

async function readAll (stream: Readable): Promise<string> {
  const pieces: Buffer[] = []
  for await (const piece of stream) pieces.push(piece as Buffer)
  return Buffer.concat(pieces).toString()
}

describe('BodyRelay', () => {
  it('forwards all bytes in order, however they are split', async () => {
    const chunks = fc.array(fc.string({ minLength: 1, maxLength: 50_000 }), { maxLength: 12 })
    await fc.assert(fc.asyncProperty(chunks, async (given) => {
      const seen: number[] = []
      const source = Readable.from(given.map((text) => Buffer.from(text)), { objectMode: false })
      const relay = new BodyRelay(source, { onChunk: (chunk) => seen.push(chunk.byteLength) })
      expect(await readAll(relay)).to.equal(given.join(''))
      expect(seen.reduce((sum, bytes) => sum + bytes, 0)).to.equal(Buffer.byteLength(given.join('')))
    }), { seed: SEED, numRuns: 50 })
  })

  // Guards against queues of streams, in which each chunk takes some 200 bytes: a stalled upload in chunks of one byte took 12 MB.
  it('takes memory for the bytes that wait for a reader, not for each chunk, and pauses the sender', async () => {
    const source = new PassThrough({ highWaterMark: 1 })
    const relay = new BodyRelay(source)
    const before = measureUsedHeap()
    relay.once('readable', () => undefined)
    const written = await writeUntilPaused(source, 1_000_000)
    expect(measureUsedHeap() - before).to.be.at.most(MAXIMUM_HEAP_GROWTH_BYTES)
    expect(written).to.be.within(60_000, 70_000)
    source.end()
    expect((await readAll(relay)).length).to.equal(written)
  })

  it('does not read the source before it is read itself, so that the body is still complete for another relay', async () => {
    const source = new PassThrough()
    source.end('body')
    new BodyRelay(source).destroy()
    await setImmediate()
    expect(await readAll(new BodyRelay(source))).to.equal('body')
  })

  it('fails when the body exceeds the maximum size', async () => {
    const source = new PassThrough()
    const relay = new BodyRelay(source, { maximumBytes: 3 })
    source.write('four')
    const error = await readAll(relay).catch((reason: unknown) => reason)
    expect([(error as Error).message, relay.isExceeded, source.destroyed]).to.deep.equal(['request body too large', true, false])
  })

  it('fails when the source closes before its end', async () => {
    const source = new PassThrough()
    const relay = new BodyRelay(source)
    source.write('part')
    const reading = readAll(relay).catch((reason: unknown) => reason)
    await setImmediate()
    source.destroy()
    expect((await reading as Error).message).to.equal('request body ended prematurely')
  })

  it('discards the rest of the source when it is destroyed, and leaves the source open', async () => {
    const source = new PassThrough()
    const relay = new BodyRelay(source)
    relay.on('error', () => undefined)
    relay.once('data', () => relay.destroy(new Error('the upstream has responded')))
    source.write('first')
    await setImmediate()
    source.write('rest')
    await setImmediate()
    expect([relay.destroyed, source.destroyed, source.readableLength]).to.deep.equal([true, false, 0])
  })
})
