/** Registers the snapshot assertion `toMatchSnapshot` with chai for all test files, and skips tests that are known to fail. */
import { use } from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'
import { knownRedTitles, readKnownRed } from './KnownRed.js'

use(jestSnapshotPlugin())

const knownRed = knownRedTitles(readKnownRed())

// Tests are skipped only if CI=true; otherwise a test that is known to fail runs and fails.
beforeEach(function () {
  const title = this.currentTest?.fullTitle() ?? ''
  if (process.env.CI !== 'true' || !knownRed.has(title)) return
  console.log(`KNOWN RED, passed over: ${title}`)
  this.skip()
})
