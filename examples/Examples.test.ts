/** Checks that the example documents are accepted in the order of their references and have the sizes of their deployments. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { AcceptanceFixture } from '../testing/documents/AcceptanceFixture.js'
import { DocumentParser } from '../src/documents/DocumentParser.js'
import type { IServiceDocument } from '../src/documents/Types.js'

interface IDeployment {
  readonly name: string
  /** Services in the order in which their documents must be accepted: a referenced service comes first. */
  readonly services: readonly string[]
  readonly sizes: { readonly slots: number, readonly connections: number }
  /** Routes whose requests run at most once. */
  readonly atMostOnceRoutes: readonly string[]
}

const DEPLOYMENTS: readonly IDeployment[] = [
  {
    name: 'tsagaan',
    services: ['status', 'inspection', 'fees'],
    sizes: { slots: 9, connections: 110 },
    atMostOnceRoutes: ['inspection file-approval', 'fees pay-fee']
  },
  {
    name: 'lakeshore',
    services: ['gallery', 'billing', 'print'],
    sizes: { slots: 6, connections: 120 },
    atMostOnceRoutes: ['billing take-deposit', 'print start-run']
  }
]

function readExample (deployment: string, service: string): string {
  return readFileSync(new URL(`${deployment}/${service}.ini`, import.meta.url), 'utf8')
}

function parseExample (deployment: string, service: string): IServiceDocument {
  const result = new DocumentParser().parse(readExample(deployment, service))
  if (!result.isValid) throw new Error(JSON.stringify(result.faults))
  return result.document
}

for (const { name: deployment, services, sizes, atMostOnceRoutes } of DEPLOYMENTS) {
  describe(`examples/${deployment}`, () => {
    it('has the pool sizes of the deployment, and marks exactly the listed routes as at-most-once', () => {
      const documents = services.map((service) => parseExample(deployment, service))
      for (const { resources } of documents) expect(resources.find(({ kind }) => kind === 'pool')).to.include(sizes)
      const marked = documents.flatMap(({ service, routes }) =>
        routes.filter(({ repeat }) => repeat === 'at-most-once').map(({ name }) => `${service} ${name}`))
      expect(marked).to.deep.equal(atMostOnceRoutes)
    })

    it('is accepted in the order of its references, and refused before a referenced document is accepted', async () => {
      const fixture = new AcceptanceFixture(1)
      const writer = fixture.connect()
      const submit = (service: string): Promise<string> =>
        fixture.submit(writer, { service, text: readExample(deployment, service), expected: 0 }).then(({ kind }) => kind)
      expect(await submit(services[2])).to.equal('invalid')
      for (const service of services) expect(await submit(service)).to.equal('accepted')
    })
  })
}
