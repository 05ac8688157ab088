/** The embedded stores meet the contract of a platform. */
import { describePlatformContract } from '../../testing/platform/PlatformContract.js'
import { EmbeddedObjectStore } from './EmbeddedObjectStore.js'
import { EmbeddedTableService } from './EmbeddedTableService.js'

describePlatformContract('EmbeddedTableService and EmbeddedObjectStore', async () => ({
  table: new EmbeddedTableService(), objects: new EmbeddedObjectStore(), stop: async () => {}
}))
