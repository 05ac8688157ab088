/** Registers the snapshot assertion `toMatchSnapshot` with chai for every test file. */
import { use } from 'chai'
import { jestSnapshotPlugin } from 'mocha-chai-jest-snapshot'

use(jestSnapshotPlugin())
