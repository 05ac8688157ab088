/** Shapes of the reports of single nodes. */
import type { ReceivedReportedRejection } from '../../generated/savoryknot/ReportedRejection.js'
import type { ReceivedReportedVersion } from '../../generated/savoryknot/ReportedVersion.js'

/** What one node has to say: changes since its last report, or everything. */
export interface IInForceReport {
  readonly node: string
  /** Higher with each report of the node. */
  readonly number: number
  readonly isWhole: boolean
  readonly versions: readonly ReceivedReportedVersion[]
  /** All present rejections. */
  readonly rejections: readonly ReceivedReportedRejection[]
  /** Digest over all versions in force, 8 bytes. */
  readonly digest: Buffer
}
