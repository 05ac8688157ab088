/** A listener that comes after the cancellation hears of it all the same. */
import { expect } from 'chai'
import { CancellationSource } from './Cancellation.js'

describe('Cancellation', () => {
  it('reaches each listener once, whether it subscribed before or after', () => {
    const source = new CancellationSource()
    const heard: string[] = []
    source.onCancelled(() => { heard.push('before') })
    source.onCancelled(() => { heard.push('disposed') }).dispose()
    source.cancel()
    source.cancel()
    source.onCancelled(() => { heard.push('after') })
    expect(heard).to.deep.equal(['before', 'after'])
    expect(source.isCancelled).to.equal(true)
  })
})
