/** Schemas of fields that other processes write: in rows of the node table and in reports of endpoints. */
import { z } from 'zod'
import { isIpv4Address } from '../common/HostPort.js'
import type { Milliseconds } from '../common/Types.js'

const MAXIMUM_TEXT_LENGTH = 200
const MAXIMUM_SLOTS = 100_000
/** Maximum time in milliseconds since the Unix epoch that a date can represent. */
const MAXIMUM_TIME_MS = 8_640_000_000_000_000
const MAXIMUM_WARM_UP_MS = 3_600_000
/** Control characters are not allowed in header fields, and unpaired surrogates cannot be encoded as UTF-8. */
const TEXT_PATTERN = /^[^\p{Cc}\p{Cs}]+$/u

/** A name or ID. */
export const textField = z.string().min(1).max(MAXIMUM_TEXT_LENGTH).regex(TEXT_PATTERN)
/** IPv4 address and port. */
export const addressField = z.string().refine(isIpv4Address)
/** Start time of an incarnation in milliseconds since the Unix epoch; 0 if it is not known. */
export const startTimeField = z.number().int().min(0).max(MAXIMUM_TIME_MS)
/** Number of requests that an endpoint executes concurrently. */
export const slotsField = z.number().int().min(1).max(MAXIMUM_SLOTS)
/** Remaining warm-up time. */
export const warmUpField = z.number().min(0).max(MAXIMUM_WARM_UP_MS).transform((value) => value as Milliseconds)
