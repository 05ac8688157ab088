/** Reads the number of invariant breaches from the metrics ports. */
import { fetch } from 'undici'
import type { Deployment } from '../../testing/demonstration/Deployment.js'

const BREACH_PATTERN = /^savoryknot_invariant_breaches_total\{[^}]*\} (\d+)$/gm

/** Total over all nodes that respond; the counts of killed processes are lost. */
export async function countBreaches (deployment: Deployment): Promise<number> {
  const counts = await Promise.all(deployment.nodes.map((node) => breachesOf(node.plan.metricsPort)))
  return counts.reduce((sum, count) => sum + count, 0)
}

async function breachesOf (port: number): Promise<number> {
  try {
    const text = await (await fetch(`http://127.0.0.1:${port}/metrics`)).text()
    return [...text.matchAll(BREACH_PATTERN)].reduce((sum, match) => sum + Number(match[1]), 0)
  } catch {
    return 0
  }
}
