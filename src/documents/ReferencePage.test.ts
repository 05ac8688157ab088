/** docs/DOCUMENTS.md is up to date with the schemas, and every key has a description. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { referenceKeys } from '../common/ReferencePage.js'
import { DOCUMENT_REFERENCE } from './DocumentReference.js'
import { writeDocumentsPage } from './ReferencePage.js'

describe('docs/DOCUMENTS.md', () => {
  it('is up to date with the schemas', () => {
    expect(readFileSync(new URL('../../docs/DOCUMENTS.md', import.meta.url), 'utf8')).to.equal(writeDocumentsPage())
  })

  it('has a description and an expected value for every key', () => {
    for (const section of DOCUMENT_REFERENCE) {
      for (const { meta } of referenceKeys(section)) {
        expect(meta.description).to.match(/\.$/)
        expect(meta.expected).not.to.equal('')
      }
    }
  })
})
