/** Every section of a document with its keys, for the reference page and the command line. */
import type { IReferenceSection } from '../common/ReferencePage.js'
import {
  LIMIT_SECTION, OBJECTIVE_SECTION, POOL_SECTION, RETRY_SECTION, ROUTE_SECTION, SERVICE_SECTION, STOP_SECTION
} from './DocumentSchema.js'

/** Sections in the order in which documents have them. */
export const DOCUMENT_REFERENCE: readonly IReferenceSection[] = Object.freeze([
  { heading: '[service]', description: 'The service and the owner of the document. Required.', schema: SERVICE_SECTION },
  { heading: '[objective]', description: 'The service-level objective, which `savoryknotctl burn` reports on. Required.', schema: OBJECTIVE_SECTION },
  {
    heading: '[pool.NAME]',
    description: 'A resource: capacity, load balancing and health probes of the endpoints of the service.',
    schema: POOL_SECTION
  },
  { heading: '[retry.NAME]', description: 'A resource: how requests are retried.', schema: RETRY_SECTION },
  { heading: '[limit.NAME]', description: 'A resource: maximum sizes of requests and responses, and the admitted request rate.', schema: LIMIT_SECTION },
  {
    heading: '[route.NAME]',
    description: 'One route. Routes are tried in the order of the document; the first one whose method and path match is used.',
    schema: ROUTE_SECTION
  },
  { heading: '[stop]', description: 'How an endpoint of the service stops. Required.', schema: STOP_SECTION }
])
