/** Registers the snapshot assertion `toMatchSnapshot` with chai for every test file, and passes over tests that are known to be red. */
import { use } from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import { readKnownRed } from './KnownRed.js'

use(jestSnapshotPlugin())

const knownRed = readKnownRed()

// With CI=true only; without it a red test fails as it should.
beforeEach(function () {
  const title = this.currentTest?.fullTitle() ?? ''
  if (process.env.CI !== 'true' || !knownRed.has(title)) return
  console.log(`KNOWN RED, passed over: ${title}`)
  this.skip()
})
