/** Guards against lost cancellations: a listener that subscribes after the cancellation is still notified. */
import { expect } from 'chai'
import { CancellationSource } from './Cancellation.js'

describe('Cancellation', () => {
  it('notifies each listener once, whether it subscribed before or after the cancellation', () => {
    const source = new CancellationSource()
    const notified: string[] = []
    source.onCancelled(() => { notified.push('before') })
    source.onCancelled(() => { notified.push('disposed') }).dispose()
    source.cancel()
    source.cancel()
    source.onCancelled(() => { notified.push('after') })
    expect(notified).to.deep.equal(['before', 'after'])
    expect(source.isCancelled).to.equal(true)
  })
})
