/** zod schemas of the sections of a document. The reference page is generated from them. */
import { z } from 'zod'
import type { ServiceName, TeamName } from '../common/Types.js'
import {
  choiceValue, countValue, durationValue, flagValue, nameValue, optionalValue, percentValue, sizeValue, textValue
} from '../common/IniValues.js'
import type { IResourceReference, RouteIdempotency, RequestClass } from './Types.js'
import { parseMethod, parsePath, parseReference } from './RoutePattern.js'

/** Highest format number that this program reads. */
export const KNOWN_FORMAT = 1
/** Maximum size of a document's text in bytes. */
export const MAXIMUM_DOCUMENT_BYTES = 65_536

const SECOND_MS = 1_000
const MINUTE_MS = 60 * SECOND_MS
const HOUR_MS = 60 * MINUTE_MS
const DAY_MS = 24 * HOUR_MS
const KIBIBYTE = 1_024
const MEBIBYTE = 1_024 * KIBIBYTE
const GIBIBYTE = 1_024 * MEBIBYTE
const MAXIMUM_COUNT = 100_000
const IDEMPOTENCY_VALUES: readonly RouteIdempotency[] = ['idempotent', 'at-most-once', 'non-idempotent']
const REQUEST_CLASSES: readonly RequestClass[] = ['critical', 'normal', 'background']

const exported = flagValue({ description: 'Whether routes of other services may refer to this resource.', default: 'no' })

/** A reference to a resource of any service. */
function reference (description: string): z.ZodType<IResourceReference> {
  return textValue({ description }, 'a reference such as status/endpoints', parseReference)
}

/** An optional reference. */
function optionalReference (description: string): z.ZodType<IResourceReference | undefined> {
  return optionalValue(reference(description))
}

export const SERVICE_SECTION = z.strictObject({
  format: countValue({ description: 'Format number of the document.' }, { minimum: 1, maximum: KNOWN_FORMAT }),
  name: nameValue<ServiceName>({ description: 'Name of the service. It is the same in every version.' }),
  owner: nameValue<TeamName>({ description: 'Team that owns the document. Only this team may change it.' })
})

export const OBJECTIVE_SECTION = z.strictObject({
  availability: percentValue({ description: 'Share of responses that must be good.' }, { minimum: 50, maximum: 99.999 }),
  latency: durationValue({ description: 'A response that takes longer is not good.' }, { minimum: 1, maximum: HOUR_MS }),
  window: durationValue({ description: 'Period to which the objective applies.', default: '30 d' }, { minimum: HOUR_MS, maximum: 90 * DAY_MS })
})

export const POOL_SECTION = z.strictObject({
  exported,
  slots: countValue({ description: 'Requests that one endpoint runs concurrently.' }, { minimum: 1, maximum: MAXIMUM_COUNT }),
  connections: countValue({ description: 'Connections that one endpoint accepts.' }, { minimum: 1, maximum: MAXIMUM_COUNT }),
  queue: countValue({ description: 'Requests that may wait at one endpoint.', default: '0' }, { minimum: 0, maximum: MAXIMUM_COUNT }),
  'queue-timeout': durationValue({ description: 'Maximum wait in the queue.', default: '100 ms' }, { minimum: 1, maximum: MINUTE_MS }),
  'slow-start': durationValue(
    { description: 'Time over which a newly started endpoint ramps up to its full share of requests.', default: '10 s' },
    { minimum: 0, maximum: HOUR_MS }
  ),
  balancing: choiceValue(
    { description: 'How an endpoint is chosen: the less loaded of two random ones, or any random one.', default: 'two-choices' },
    ['two-choices', 'random']
  ),
  'spill-at': percentValue(
    { description: 'Share of occupied slots above which calls spill over to the next failure domain or region.', default: '80 %' },
    { minimum: 1, maximum: 100 }
  ),
  'ejection-ceiling': percentValue(
    { description: 'Maximum share of endpoints that may be ejected as outliers.', default: '34 %' },
    { minimum: 0, maximum: 100 }
  ),
  'health-path': textValue(
    { description: 'Path of the health endpoint of the upstream.', default: '/health' },
    'a path such as /health',
    (text) => text.includes('*') ? undefined : parsePath(text)
  ),
  'health-interval': durationValue({ description: 'Time between two health probes.', default: '2 s' }, { minimum: 100, maximum: HOUR_MS })
})

export const RETRY_SECTION = z.strictObject({
  exported,
  attempts: countValue({ description: 'Maximum number of attempts of one call, including the first.' }, { minimum: 1, maximum: 10 }),
  budget: percentValue({ description: 'Retries allowed, as a share of requests.', default: '10 %' }, { minimum: 0, maximum: 100 }),
  backoff: durationValue({ description: 'Upper bound of the first backoff; full jitter.', default: '25 ms' }, { minimum: 0, maximum: MINUTE_MS }),
  'backoff-limit': durationValue({ description: 'Upper bound of every backoff.', default: '250 ms' }, { minimum: 0, maximum: MINUTE_MS })
})

export const LIMIT_SECTION = z.strictObject({
  exported,
  'request-bytes': sizeValue({ description: 'Maximum size of a request body.' }, { minimum: 0, maximum: GIBIBYTE }),
  'response-bytes': sizeValue({ description: 'Maximum size of a response body.' }, { minimum: 0, maximum: GIBIBYTE }),
  rate: countValue(
    { description: 'Requests per second that one node admits on routes with this limit; 0 is no limit.', default: '0' },
    { minimum: 0, maximum: MAXIMUM_COUNT }
  )
})

export const ROUTE_SECTION = z.strictObject({
  method: textValue({ description: 'HTTP method; * is any.' }, 'GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or *', parseMethod),
  path: textValue(
    { description: 'Path; the segment * matches one segment, a last segment ** matches the rest.' },
    'a path such as /fees/*/receipt or /status/**', parsePath
  ),
  target: reference('Pool that serves the route; of another service only if it is exported there.'),
  retry: optionalReference('Retry rule; without it requests are not retried.'),
  limit: optionalReference('Limit on size and rate; without it the limits of the node apply.'),
  repeat: choiceValue(
    { description: 'Whether a request may run more than once. at-most-once needs an Idempotency-Key header.' },
    IDEMPOTENCY_VALUES
  ),
  class: choiceValue({ description: 'Priority; background requests are shed first.', default: 'normal' }, REQUEST_CLASSES),
  deadline: durationValue({ description: 'Time allowed for a complete call, unless the caller allows less.' }, { minimum: 1, maximum: HOUR_MS })
})

export const STOP_SECTION = z.strictObject({
  'drain-grace': durationValue(
    { description: 'Maximum time for requests in flight to finish when an endpoint stops.' },
    { minimum: 0, maximum: HOUR_MS }
  )
})
