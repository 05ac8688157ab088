/** The exports of the library match the documented public interface. */
import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import * as embedding from './Embedding.js'

describe('Embedding', () => {
  it('exports exactly the classes and functions that typings/savoryknot.d.ts documents', () => {
    const text = readFileSync(new URL('../typings/savoryknot.d.ts', import.meta.url), 'utf8')
    const documented = [...text.matchAll(/^export (?:class|function) (\w+)/gm)].map((match) => match[1] as string)
    const exported = Object.keys(embedding)
    // Only the type of the client is exported; createMeshClient creates instances.
    expect([...exported, 'MeshClient'].sort()).to.deep.equal(documented.sort())
  })

  it('documents every export with a comment', () => {
    const lines = readFileSync(new URL('../typings/savoryknot.d.ts', import.meta.url), 'utf8').split('\n')
    const bare = lines.filter((line, at) => line.startsWith('export ') && !/(\*\/|\*\/\s*)$/.test(lines[at - 1] ?? ''))
    expect(bare).to.deep.equal([])
  })
})
