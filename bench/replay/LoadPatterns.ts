/** Named load patterns, sized for a small deployment: six failure domains in three regions, with one endpoint in each domain. */
import type { ILoadPattern, IRequestKind } from './Types.js'

export const DOMAIN_COUNT = 6
export const DOMAINS_PER_REGION = 2
export const SLOTS = 6
/** Requests per second in each failure domain that occupy about three fifths of the slots. */
const BASE_RATE = 18
const BURST_FROM_MS = 8_000
const BURST_UNTIL_MS = 10_500

/** Three ranks with the execution times, objectives and deadlines of production deployments. */
export const KINDS: readonly IRequestKind[] = Object.freeze([
  { rank: 0, share: 0.18, meanWork: 150, objective: 500, deadline: 3_000 },
  { rank: 1, share: 0.22, meanWork: 290, objective: 800, deadline: 4_000 },
  { rank: 2, share: 0.6, meanWork: 220, objective: 600, deadline: 2_000 }
])

const baseRate = (): number => BASE_RATE
const unchangedSpeed = (): number => 1

function isWithin (from: number, until: number, now: number): boolean {
  return now >= from && now < until
}

export const LOAD_PATTERNS: readonly ILoadPattern[] = Object.freeze([
  { name: 'calm', summary: 'constant load below capacity', rate: baseRate, slowness: unchangedSpeed },
  {
    name: 'burst',
    summary: '1.7 times the request rate for two and a half seconds',
    rate: (_domain: number, now: number) => isWithin(BURST_FROM_MS, BURST_UNTIL_MS, now) ? 1.7 * BASE_RATE : BASE_RATE,
    slowness: unchangedSpeed
  },
  { name: 'steady-overload', summary: 'permanently a fifth more work than all slots can process', rate: () => 1.9 * BASE_RATE, slowness: unchangedSpeed },
  {
    name: 'hot-domain',
    summary: 'one failure domain receives three times its usual request rate, the others less than usual',
    rate: (domain: number) => domain === 0 ? 3 * BASE_RATE : 0.7 * BASE_RATE,
    slowness: unchangedSpeed
  },
  {
    name: 'slow-endpoint',
    summary: 'one endpoint takes twelve times as long per request for nine seconds',
    rate: baseRate,
    slowness: (endpoint: number, now: number) => endpoint === 0 && isWithin(6_000, 15_000, now) ? 12 : 1
  },
  {
    name: 'cold-return',
    summary: 'every endpoint restarts cold and takes twice as long per request for three seconds',
    rate: baseRate,
    slowness: (_endpoint: number, now: number) => isWithin(8_000, 11_000, now) ? 2 : 1
  }
])
