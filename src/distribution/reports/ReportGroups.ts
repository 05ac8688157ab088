/** Puts reports with the same content together, so that each further node costs only its id and a number. */
import type { ReceivedReportGroup, ReportGroup } from '../../generated/savoryknot/ReportGroup.js'
import type { ReportOrigin } from '../../generated/savoryknot/ReportOrigin.js'
import type { IInForceReport } from './Types.js'

/** The message form. The order of the reports of one node may change; their numbers tell it. */
export function groupReports (reports: readonly IInForceReport[]): ReportGroup[] {
  const origins = new Map<string, ReportOrigin[]>()
  const groups: ReportGroup[] = []
  for (const { node, number, isWhole, versions, rejections, digest } of reports) {
    const key = JSON.stringify([isWhole, versions, rejections, digest.toString('hex')])
    const known = origins.get(key)
    if (known !== undefined) {
      known.push({ node, number })
      continue
    }
    const added = [{ node, number }]
    origins.set(key, added)
    groups.push({ origins: added, isWhole, versions: [...versions], rejections: [...rejections], digest })
  }
  return groups
}

/** The single reports, each node's in the order of their numbers. */
export function ungroupReports (groups: readonly ReceivedReportGroup[]): IInForceReport[] {
  const reports = groups.flatMap(({ origins, isWhole, versions, rejections, digest }) => {
    return origins.map(({ node, number }) => ({ node, number, isWhole, versions, rejections, digest }))
  })
  return reports.sort((left, right) => left.number - right.number)
}
