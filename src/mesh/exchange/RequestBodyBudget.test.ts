/** The memory that request bodies may take on VMs of several sizes, and who gets it. */
import { expect } from 'chai'
import { RequestBodyBudget, requestBodyLimit } from './RequestBodyBudget.js'

const MEGABYTE = 1_000_000
const KIBIBYTE = 1_024

describe('RequestBodyBudget', () => {
  it('derives its limit from the memory of the VM', () => {
    const limits = [32, 150, 178, 200, 250, 350, 602].map((memory) => `${memory} MB: ${(requestBodyLimit(memory * MEGABYTE) / MEGABYTE).toFixed(1)} MB`)
    expect(limits).toMatchSnapshot()
  })

  it('refuses what does not fit and keeps what was accepted', () => {
    const budget = new RequestBodyBudget({ limit: 100 * MEGABYTE })
    const [first, second] = [budget.reserve(), budget.reserve()]
    expect([first.tryGrow(60 * MEGABYTE), second.tryGrow(60 * MEGABYTE), second.tryGrow(20 * MEGABYTE)]).to.deep.equal([true, false, true])
    expect([budget.bytes, budget.refusals]).to.deep.equal([80 * MEGABYTE, 1])
    first.release()
    expect([second.tryGrow(60 * MEGABYTE), budget.bytes]).to.deep.equal([true, 60 * MEGABYTE])
    second.release()
    second.release()
    expect(budget.bytes).to.equal(0)
  })

  it('reserves a part for small bodies', () => {
    const budget = new RequestBodyBudget({ limit: 8 * MEGABYTE })
    expect([budget.reserve().tryGrow(budget.largestBody), budget.reserve().tryGrow(65 * KIBIBYTE)]).to.deep.equal([true, false])
    expect(Array.from({ length: 10 }, () => budget.reserve().tryGrow(64 * KIBIBYTE))).to.deep.equal(Array(10).fill(true))
  })

  it('has no room for a body that grows beyond it, however small its steps', () => {
    const budget = new RequestBodyBudget({ limit: 8 * MEGABYTE })
    const body = budget.reserve()
    let grown = 0
    while (body.tryGrow(grown + 64 * KIBIBYTE)) grown += 64 * KIBIBYTE
    expect(grown).to.be.at.most(budget.largestBody)
    expect(body.bytes).to.equal(grown)
  })
})
