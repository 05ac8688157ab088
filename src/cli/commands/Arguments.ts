/** Validates arguments of commands. */
import { isName } from '../../common/Ids.js'
import { UsageError } from '../CommandErrors.js'

/** A service's name. */
export function requireService (value: string | undefined): string {
  if (value !== undefined && isName(value)) return value
  throw new UsageError(`expected a service name (lower-case letters, digits, hyphens), found ${JSON.stringify(value ?? '')}`, { step: 'ctl.arguments' })
}

/** A service's name, or an empty text for all services. */
export function optionalService (value: string | undefined): string {
  return value === undefined ? '' : requireService(value)
}

/** A whole number of at least `minimum`. */
export function requireNumber (value: unknown, name: string, minimum: number): number {
  const number = typeof value === 'string' && value.trim() !== '' ? Number(value) : value
  if (typeof number === 'number' && Number.isSafeInteger(number) && number >= minimum) return number
  throw new UsageError(`${name}: expected a whole number of at least ${minimum}, found ${JSON.stringify(value ?? '')}`, { step: 'ctl.arguments' })
}

/** The version that a submission was written against: a number, or `new`, which gives 0. */
export function requireExpectation (value: unknown, allowsNew: boolean): number {
  if (value === 'new' && allowsNew) return 0
  if (value === undefined) {
    throw new UsageError(`--expect is needed: the version that you edited${allowsNew ? ', or new' : ''}`, { step: 'ctl.arguments' })
  }
  return requireNumber(value, '--expect', 1)
}
