/** docs/DOCUMENTS.md is what the schemas say, and every key has a meaning. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { referenceKeys } from '../common/ReferencePage.js'
import { DOCUMENT_REFERENCE } from './Reference.js'
import { writeDocumentsPage } from './ReferencePage.js'

describe('docs/DOCUMENTS.md', () => {
  it('agrees with the schemas', () => {
    expect(readFileSync(new URL('../../docs/DOCUMENTS.md', import.meta.url), 'utf8')).to.equal(writeDocumentsPage())
  })

  it('has a meaning and an expected value for every key', () => {
    for (const section of DOCUMENT_REFERENCE) {
      for (const { meta } of referenceKeys(section)) {
        expect(meta.description).to.match(/\.$/)
        expect(meta.expected).not.to.equal('')
      }
    }
  })
})
