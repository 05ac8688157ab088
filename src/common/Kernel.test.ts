/** Order in which the kernel starts and stops services, and the registrations that it rejects. */
import { expect } from 'chai'
import { Kernel } from './Kernel.js'
import { createServiceKey, type IService, type IServiceKey } from './Services.js'

const LOWER = createServiceKey<IService>('lower')
const MIDDLE = createServiceKey<IService>('middle')
const UPPER = createServiceKey<IService>('upper')

/** Registers a service that appends its start and stop to `journal`. */
function registerJournaled (kernel: Kernel, key: IServiceKey<IService>, dependsOn: Array<IServiceKey<object>>, journal: string[]): void {
  const create = (): IService => ({
    start: () => { journal.push(`start ${key.name}`) },
    stop: () => { journal.push(`stop ${key.name}`) }
  })
  kernel.register({ key, dependsOn, create })
}

describe('Kernel', () => {
  it('starts dependencies first and stops them last', async () => {
    const kernel = new Kernel()
    const journal: string[] = []
    registerJournaled(kernel, UPPER, [MIDDLE], journal)
    registerJournaled(kernel, LOWER, [], journal)
    registerJournaled(kernel, MIDDLE, [LOWER], journal)
    await kernel.start()
    await kernel.stop()
    expect(journal).toMatchSnapshot()
  })

  it('stops the services already started when a later one fails to start', async () => {
    const kernel = new Kernel()
    const journal: string[] = []
    registerJournaled(kernel, LOWER, [], journal)
    kernel.register({ key: UPPER, dependsOn: [LOWER], create: () => { throw new Error('no port') } })
    const error = await kernel.start().catch((reason: unknown) => reason)
    expect(error).to.be.instanceOf(Error)
    expect(journal).to.deep.equal(['start lower', 'stop lower'])
  })

  it('does not start or stop a service that is started by its owner', async () => {
    const kernel = new Kernel()
    const journal: string[] = []
    registerJournaled(kernel, LOWER, [], journal)
    kernel.register({ key: UPPER, dependsOn: [LOWER], isStartedByOwner: true, create: () => kernel.get(LOWER) })
    await kernel.start()
    await kernel.stop()
    expect(kernel.get(UPPER)).to.equal(kernel.get(LOWER))
    expect(journal).to.deep.equal(['start lower', 'stop lower'])
  })

  it('rejects a dependency cycle, a missing dependency and a second registration', async () => {
    const cyclic = new Kernel()
    registerJournaled(cyclic, LOWER, [UPPER], [])
    registerJournaled(cyclic, UPPER, [LOWER], [])
    const incomplete = new Kernel()
    registerJournaled(incomplete, UPPER, [LOWER], [])
    const messages = [await messageOf(() => cyclic.start()), await messageOf(() => incomplete.start())]
    expect(() => registerJournaled(incomplete, UPPER, [], [])).to.throw('registered twice')
    expect(messages).toMatchSnapshot()
  })
})

/** Message of the error that `action` rejects with. */
async function messageOf (action: () => Promise<void>): Promise<string> {
  try {
    await action()
    return 'no error'
  } catch (error) {
    return (error as Error).message
  }
}
