/** Parses and formats values with units as used in INI texts. */
import type { Milliseconds } from './Types.js'

/** A value, or a description of the expected one. */
export type ParsedValue<TValue> =
  | { readonly isValid: true, readonly value: TValue }
  | { readonly isValid: false, readonly expected: string }

/** Inclusive bounds of a number. */
export interface IValueBounds {
  readonly minimum: number
  readonly maximum: number
}

/** Milliseconds by unit of duration, from the smallest. */
const DURATION_UNITS: ReadonlyMap<string, number> = new Map([['ms', 1], ['s', 1_000], ['min', 60_000], ['h', 3_600_000], ['d', 86_400_000]])
/** Bytes by unit of size, from the smallest. */
const SIZE_UNITS: ReadonlyMap<string, number> = new Map([['B', 1], ['KiB', 1_024], ['MiB', 1_048_576], ['GiB', 1_073_741_824]])
const MEASURE_PATTERN = /^(\d{1,9}) ([A-Za-z]{1,3})$/
const PERCENT_PATTERN = /^(\d{1,3}(?:\.\d{1,6})?) %$/
const COUNT_PATTERN = /^\d{1,9}$/
/** A number as JSON writes it, so with an exponent if it is very small or large. */
const NUMBER_PATTERN = /^\d{1,20}(?:\.\d{1,20})?(?:e[+-]?\d{1,3})?$/
const FRACTIONAL_DURATION_PATTERN = /^(\S{1,46}) ([A-Za-z]{1,3})$/

/** A whole number without unit. */
export function parseCount (text: string, bounds: IValueBounds): ParsedValue<number> {
  return bounded(COUNT_PATTERN.test(text) ? Number(text) : undefined, bounds, expectedCount(bounds))
}

/** A number without unit, whole or with a fraction. */
export function parseNumber (text: string, bounds: IValueBounds): ParsedValue<number> {
  return bounded(readNumber(text), bounds, expectedNumber(bounds))
}

/** A duration such as `800 ms` or `2.5 s`, of any fraction of a unit; the bounds are in milliseconds. */
export function parseFractionalDuration (text: string, bounds: IValueBounds): ParsedValue<Milliseconds> {
  const [, count, unit] = FRACTIONAL_DURATION_PATTERN.exec(text) ?? []
  const factor = DURATION_UNITS.get(unit)
  const number = factor === undefined ? undefined : readNumber(count)
  const duration = number === undefined || factor === undefined ? undefined : number * factor as Milliseconds
  return bounded(duration, bounds, expectedFractionalDuration(bounds))
}

/** A duration such as `800 ms`; the bounds are in milliseconds. */
export function parseDuration (text: string, bounds: IValueBounds): ParsedValue<Milliseconds> {
  return bounded(readMeasure(text, DURATION_UNITS) as Milliseconds | undefined, bounds, expectedDuration(bounds))
}

/** A size such as `16 KiB`; the value and the bounds are in bytes. */
export function parseSize (text: string, bounds: IValueBounds): ParsedValue<number> {
  return bounded(readMeasure(text, SIZE_UNITS), bounds, expectedSize(bounds))
}

/** A share such as `99.9 %`; the value is in percent. */
export function parsePercent (text: string, bounds: IValueBounds): ParsedValue<number> {
  const match = PERCENT_PATTERN.exec(text)
  return bounded(match === null ? undefined : Number(match[1]), bounds, expectedPercent(bounds))
}

/** `yes` or `no`. */
export function parseFlag (text: string): ParsedValue<boolean> {
  if (text !== 'yes' && text !== 'no') return { isValid: false, expected: EXPECTED_FLAG }
  return { isValid: true, value: text === 'yes' }
}

export const EXPECTED_FLAG = 'yes or no'

export function expectedCount ({ minimum, maximum }: IValueBounds): string {
  return `a whole number from ${minimum} to ${maximum}`
}

export function expectedNumber ({ minimum, maximum }: IValueBounds): string {
  return `a number from ${minimum} to ${maximum}`
}

export function expectedFractionalDuration (bounds: IValueBounds): string {
  return `${expectedDuration(bounds)}; fractions are allowed`
}

export function expectedDuration ({ minimum, maximum }: IValueBounds): string {
  const units = [...DURATION_UNITS.keys()].join(', ')
  return `a duration such as 800 ms (units ${units}) from ${writeDuration(minimum)} to ${writeDuration(maximum)}`
}

export function expectedSize ({ minimum, maximum }: IValueBounds): string {
  const units = [...SIZE_UNITS.keys()].join(', ')
  return `a size such as 16 KiB (units ${units}) from ${writeSize(minimum)} to ${writeSize(maximum)}`
}

export function expectedPercent ({ minimum, maximum }: IValueBounds): string {
  return `a share such as 10 % from ${minimum} % to ${maximum} %`
}

/** Formats milliseconds in the largest unit that gives a whole number. */
export function writeDuration (duration: number): string {
  return writeMeasure(duration, DURATION_UNITS)
}

/** Formats bytes in the largest unit that gives a whole number. */
export function writeSize (bytes: number): string {
  return writeMeasure(bytes, SIZE_UNITS)
}

function bounded<TValue extends number> (value: TValue | undefined, bounds: IValueBounds, expected: string): ParsedValue<TValue> {
  if (value === undefined || value < bounds.minimum || value > bounds.maximum) return { isValid: false, expected }
  return { isValid: true, value }
}

function readNumber (text: string): number | undefined {
  return NUMBER_PATTERN.test(text) ? Number(text) : undefined
}

function readMeasure (text: string, units: ReadonlyMap<string, number>): number | undefined {
  const match = MEASURE_PATTERN.exec(text)
  const factor = match === null ? undefined : units.get(match[2])
  return match === null || factor === undefined ? undefined : Number(match[1]) * factor
}

function writeMeasure (value: number, units: ReadonlyMap<string, number>): string {
  let text = ''
  for (const [unit, factor] of units) {
    const isWhole = value % factor === 0 && value !== 0
    if (text === '' || isWhole) text = `${value / factor} ${unit}`
  }
  return text
}
