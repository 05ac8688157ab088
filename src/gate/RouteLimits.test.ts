/** Lookup of the limits of a route. */
import { expect } from 'chai'
import type { ResourceName, RouteName, ServiceName } from '../common/Types.js'
import type { IActiveDocument, IResourceReference, ISnapshot } from '../documents/Types.js'
import { findBodyLimits } from './RouteLimits.js'

const SERVICE = 'fees' as ServiceName
const FALLBACK = { requestBytes: 16, responseBytes: 32 }
const OWN = { kind: 'limit', name: 'sizes', isExported: false, requestBytes: 4, responseBytes: 8, rate: 0 }

/** A snapshot with one route that references the limit `sizes`, and one that references none. */
function createSnapshot (): ISnapshot {
  const limit: IResourceReference = { service: SERVICE, resource: 'sizes' as ResourceName }
  const routes = [{ name: 'limited', limit }, { name: 'free' }]
  const active = { document: { routes } } as unknown as IActiveDocument
  return { documents: new Map([[SERVICE, active]]), resource: () => OWN as never }
}

describe('findBodyLimits', () => {
  it('returns the limit that the route references, or that of the node if it references none', () => {
    const limitsOf = (route: string): number => findBodyLimits(createSnapshot(), SERVICE, route as RouteName, FALLBACK).requestBytes
    expect([limitsOf('limited'), limitsOf('free'), limitsOf('unknown')]).to.deep.equal([4, 16, 16])
  })
})
