/** Groups reports with equal content, so that each additional node adds only its id and a number to the message. */
import type { ReceivedReportGroup, ReportGroup } from '../../generated/savoryknot/ReportGroup.js'
import type { ReportOrigin } from '../../generated/savoryknot/ReportOrigin.js'
import type { INodeReport } from './Types.js'

/** Encodes reports for a message. Grouping may change the order of the reports of one node; their numbers restore it. */
export function groupReports (reports: readonly INodeReport[]): ReportGroup[] {
  const origins = new Map<string, ReportOrigin[]>()
  const groups: ReportGroup[] = []
  for (const { node, number, isWhole, versions, rejections, digest } of reports) {
    const key = JSON.stringify([isWhole, versions, rejections, digest.toString('hex')])
    const existing = origins.get(key)
    if (existing !== undefined) {
      existing.push({ node, number })
      continue
    }
    const added = [{ node, number }]
    origins.set(key, added)
    groups.push({ origins: added, isWhole, versions: [...versions], rejections: [...rejections], digest })
  }
  return groups
}

/** Decodes the reports; the reports of each node are in the order of their numbers. */
export function ungroupReports (groups: readonly ReceivedReportGroup[]): INodeReport[] {
  const reports = groups.flatMap(({ origins, isWhole, versions, rejections, digest }) => {
    return origins.map(({ node, number }) => ({ node, number, isWhole, versions, rejections, digest }))
  })
  return reports.sort((left, right) => left.number - right.number)
}
