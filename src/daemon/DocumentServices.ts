/** Registers the services of the platform, and the document services that use them. */
import { ILogService, type IKernel } from '../common/Services.js'
import { AcceptanceService } from '../documents/AcceptanceService.js'
import { AcceptedDocuments } from '../documents/AcceptedDocuments.js'
import { CheckpointService } from '../documents/CheckpointService.js'
import { DocumentParser } from '../documents/DocumentParser.js'
import { IAcceptanceService, IAcceptedDocuments, ICheckpointService, IDocumentParser, ISnapshotBuilder } from '../documents/Services.js'
import { SnapshotBuilder } from '../documents/SnapshotBuilder.js'
import { EmbeddedObjectStore } from '../platform/EmbeddedObjectStore.js'
import { EmbeddedTableService } from '../platform/EmbeddedTableService.js'
import { HttpObjectStore } from '../platform/HttpObjectStore.js'
import { HttpTableService } from '../platform/HttpTableService.js'
import { PlatformHttpClient } from '../platform/PlatformHttpClient.js'
import { IObjectStore, ITableService } from '../platform/Services.js'
import { FOUNDATION, foundationOf } from './Foundation.js'
import { IPlatformClient } from './Services.js'
import type { ISettings } from './settings/Types.js'

/** Registers the table service and the object store of the platform kind in the settings. */
export function registerPlatform (kernel: IKernel, settings: ISettings): void {
  if (settings.platform.kind === 'embedded') registerEmbeddedPlatform(kernel)
  else registerHttpPlatform(kernel, settings)
}

function registerEmbeddedPlatform (kernel: IKernel): void {
  kernel.register({ key: ITableService, dependsOn: [], create: () => new EmbeddedTableService() })
  kernel.register({ key: IObjectStore, dependsOn: [], create: () => new EmbeddedObjectStore() })
}

function registerHttpPlatform (kernel: IKernel, settings: ISettings): void {
  const { url = '', timeout } = settings.platform
  kernel.register({
    key: IPlatformClient,
    dependsOn: FOUNDATION,
    create: () => new PlatformHttpClient(foundationOf(kernel), { url, requestTimeout: timeout })
  })
  kernel.register({ key: ITableService, dependsOn: [IPlatformClient], create: () => new HttpTableService(kernel.get(IPlatformClient)) })
  kernel.register({ key: IObjectStore, dependsOn: [IPlatformClient], create: () => new HttpObjectStore(kernel.get(IPlatformClient)) })
}

/** Registers the services that parse, accept and read documents and build snapshots. */
export function registerDocuments (kernel: IKernel): void {
  kernel.register({ key: IDocumentParser, dependsOn: [], create: () => new DocumentParser() })
  kernel.register({
    key: IAcceptedDocuments,
    dependsOn: [ILogService, ITableService, IObjectStore],
    create: () => new AcceptedDocuments({
      table: kernel.get(ITableService),
      objects: kernel.get(IObjectStore),
      log: kernel.get(ILogService)
    })
  })
  kernel.register({
    key: IAcceptanceService,
    dependsOn: [...FOUNDATION, ITableService, IObjectStore, IDocumentParser],
    create: () => new AcceptanceService({
      ...foundationOf(kernel),
      table: kernel.get(ITableService),
      objects: kernel.get(IObjectStore),
      parser: kernel.get(IDocumentParser)
    })
  })
  kernel.register({
    key: ICheckpointService,
    dependsOn: [ILogService, ITableService, IObjectStore, IAcceptanceService],
    create: () => new CheckpointService({
      table: kernel.get(ITableService),
      objects: kernel.get(IObjectStore),
      log: kernel.get(ILogService),
      onAccepted: kernel.get(IAcceptanceService).onAccepted
    })
  })
  kernel.register({
    key: ISnapshotBuilder,
    dependsOn: [ILogService, IDocumentParser, ...FOUNDATION],
    create: () => new SnapshotBuilder({ parser: kernel.get(IDocumentParser), invariants: foundationOf(kernel).invariants })
  })
}
