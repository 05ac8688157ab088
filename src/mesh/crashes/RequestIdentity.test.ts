/** Identical requests must have the same fingerprint on all nodes, and different requests different ones. */
import { expect } from 'chai'
import { isFingerprint, RequestIdentity, targetOf, type IIdentifiedRequest } from './RequestIdentity.js'

describe('RequestIdentity', () => {
  const request: IIdentifiedRequest = { method: 'PUT', path: '/fees/1?a=b', fields: ['x-other', 'host', 'Host', 'Mesh.example:80'], body: Buffer.from('one') }
  const fingerprint = (parts: Partial<IIdentifiedRequest>): string => new RequestIdentity({ ...request, ...parts }).fingerprint

  it('has the same fingerprint for requests that differ only in fields other than the host', () => {
    expect(fingerprint({ fields: ['host', 'mesh.example', 'x-request-id', '7'] })).to.equal(fingerprint({}))
  })

  it('has different fingerprints for requests with different method, host, path or body', () => {
    const others = [
      { method: 'POST' }, { path: '/fees/1' }, { fields: ['host', 'other.example'] }, { fields: [] }, { body: Buffer.from('two') }, { body: undefined }
    ]
    const fingerprints = [{}, ...others].map(fingerprint)
    expect(new Set(fingerprints).size).to.equal(fingerprints.length)
    expect(fingerprints.every(isFingerprint)).to.equal(true)
  })

  it('has the same target for requests that differ only in their body', () => {
    const identity = new RequestIdentity({ ...request, body: undefined })
    expect(targetOf(identity.fingerprint)).to.equal(new RequestIdentity(request).target)
    expect(targetOf(identity.fingerprint)).to.equal(identity.target)
  })
})
