/** Types of the reports of single nodes. */
import type { ReceivedReportedRejection } from '../../generated/savoryknot/ReportedRejection.js'
import type { ReceivedReportedVersion } from '../../generated/savoryknot/ReportedVersion.js'

/** Report of one node on its active versions: the changes since its last report, or all versions. */
export interface INodeReport {
  readonly node: string
  /** Increases by one with each report of the node. */
  readonly number: number
  readonly isWhole: boolean
  readonly versions: readonly ReceivedReportedVersion[]
  /** Current rejections of the node, also in a report of changes. */
  readonly rejections: readonly ReceivedReportedRejection[]
  /** Digest over all active versions, 8 bytes. */
  readonly digest: Buffer
}
