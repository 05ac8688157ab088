/** Matching of routes, and refusal of ambiguous paths. */
import { expect } from 'chai'
import fc from 'fast-check'
import { createActiveDocument, createRoute } from '../../testing/RoutingFixtures.js'
import type { RouteName } from '../common/Types.js'
import { splitPath } from './PathRules.js'
import { RouteTable } from './RouteTable.js'

const SEED = 20_261_204

function matchAll (table: RouteTable, requests: ReadonlyArray<readonly [string, string]>): string[] {
  return requests.map(([method, path]) => {
    const match = table.match(method, path)
    return `${method} ${path} -> ${match.kind === 'matched' ? match.route.name : match.kind}`
  })
}

describe('RouteTable', () => {
  const table = new RouteTable([
    createRoute({ name: 'admin' as RouteName, method: '*', path: '/status/admin/**' }),
    createRoute({ name: 'one' as RouteName, path: '/status/*' }),
    createRoute({ name: 'part' as RouteName, path: '/status/*/part' }),
    createRoute({ name: 'rest' as RouteName, path: '/status/**' }),
    createRoute({ name: 'file' as RouteName, method: 'POST', path: '/file' })
  ])

  it('returns the first route that matches method and path', () => {
    expect(matchAll(table, [
      ['GET', '/status/1'], ['GET', '/status/1?a=/b'], ['GET', '/status/1/part'], ['GET', '/status/1/2/3'], ['GET', '/status'], ['GET', '/status/'],
      ['DELETE', '/status/admin/x'], ['POST', '/file'], ['GET', '/file'], ['POST', '/file/'], ['GET', '/%73tatus/%61dmin/x'], ['GET', '/']
    ])).toMatchSnapshot()
  })

  it('refuses paths that an upstream could interpret differently', () => {
    const hostile = [
      '/status/../file', '/status/%2e%2e/file', '/status/.;x/a', '/status/..;/a', '/status//admin', '/status/a%2fb', '/status/a%5cb', '/status\\admin',
      '/status/%00', '/status/%', '/status/%zz', '/status/a b', '/status/a#b', 'status/1', '*', 'http://x/status', '/status/%c3', '/status/é', `/${'a/'.repeat(80)}`,
      `/status/${'a'.repeat(5_000)}`, ''
    ]
    for (const path of hostile) expect(table.match('GET', path).kind, path).to.equal('malformed')
  })

  it('matches a percent-encoded path to the same route as the plain path', () => {
    const encoded = fc.string({ unit: fc.constantFrom(...'admin'), minLength: 1, maxLength: 5 })
    fc.assert(fc.property(encoded, fc.array(fc.boolean(), { minLength: 5, maxLength: 5 }), (word, marks) => {
      const disguised = [...word].map((letter, at) => marks[at] === true ? `%${letter.charCodeAt(0).toString(16)}` : letter).join('')
      expect(table.match('GET', `/status/${disguised}/x`)).to.deep.equal(table.match('GET', `/status/${word}/x`))
    }), { seed: SEED, numRuns: 300 })
  })

  it('never splits a path into segments that contain a dot segment or an empty inner segment', () => {
    const part = fc.constantFrom('a', '.', '..', '%2e', '%2E%2e', '', '..;v=1', 'a.b', '...')
    fc.assert(fc.property(fc.array(part, { minLength: 1, maxLength: 6 }), (parts) => {
      const segments = splitPath(`/${parts.join('/')}`) ?? []
      for (const segment of segments.slice(0, -1)) expect(segment).to.not.equal('')
      for (const segment of segments) expect(['.', '..']).to.not.include(segment)
    }), { seed: SEED, numRuns: 500 })
  })

  it('is compiled once for each version, and has no routes for a tombstone', () => {
    const active = createActiveDocument([createRoute()])
    expect(RouteTable.of(active)).to.equal(RouteTable.of(active))
    expect(RouteTable.of({ ...active, document: undefined }).match('GET', '/status/1').kind).to.equal('no-route')
  })
})
