/** zod schemas of the values in INI texts, each with its description, what is expected, and its default. */
import { z } from 'zod'
import { isName } from '../../common/Ids.js'
import type { Brand, Milliseconds } from '../../common/Types.js'
import { excerpt } from './IniLines.js'

/** Texts about one key. */
export interface IValueTexts {
  /** What the key means. */
  readonly description: string
  /** Value used when the key is missing, written as in the file; without it the key is required. */
  readonly default?: string
}

/** Bounds of a number, both included. */
export interface IValueBounds {
  readonly minimum: number
  readonly maximum: number
}

/** What the reference page tells about one key. */
export interface IValueMeta {
  readonly description: string
  readonly expected: string
  readonly default?: string
  /** True if the key may be missing although there is no default. */
  readonly isOptional?: boolean
}

const MILLISECONDS_BY_UNIT: ReadonlyMap<string, number> = new Map([['ms', 1], ['s', 1_000], ['min', 60_000], ['h', 3_600_000], ['d', 86_400_000]])
const BYTES_BY_UNIT: ReadonlyMap<string, number> = new Map([['B', 1], ['KiB', 1_024], ['MiB', 1_048_576], ['GiB', 1_073_741_824]])
const MEASURE_PATTERN = /^(\d{1,9}) ([A-Za-z]{1,3})$/
const PERCENT_PATTERN = /^(\d{1,3}(?:\.\d{1,6})?) %$/
const COUNT_PATTERN = /^\d{1,9}$/

/** A schema that turns text into a value; `parse` answers undefined for a text that is not as expected. */
export function textValue<TValue> (texts: IValueTexts, expected: string, parse: (text: string) => TValue | undefined): z.ZodType<TValue> {
  const schema = z.string({ error: `missing; expected ${expected}` }).transform((text, context): TValue => {
    const value = text === '' ? undefined : parse(text)
    if (value !== undefined) return value
    const message = text === '' ? `empty; expected ${expected}` : `found ${excerpt(text)}; expected ${expected}`
    context.addIssue({ code: 'custom', message })
    return z.NEVER
  })
  const meta: IValueMeta = { description: texts.description, expected, default: texts.default }
  const complete = texts.default === undefined ? schema : schema.prefault(texts.default)
  return complete.meta({ ...meta }) as unknown as z.ZodType<TValue>
}

/** What was said about a schema made by `textValue`. */
export function describeValue (schema: z.ZodType): IValueMeta {
  return schema.meta() as unknown as IValueMeta
}

/** A whole number without unit. */
export function countValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  const expected = `a whole number from ${bounds.minimum} to ${bounds.maximum}`
  return textValue(texts, expected, (text) => COUNT_PATTERN.test(text) ? within(Number(text), bounds) : undefined)
}

/** A duration such as `800 ms`; the bounds are in milliseconds. */
export function durationValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<Milliseconds> {
  const range = `from ${writeMeasure(bounds.minimum, MILLISECONDS_BY_UNIT)} to ${writeMeasure(bounds.maximum, MILLISECONDS_BY_UNIT)}`
  const expected = `a duration such as 800 ms (units ${[...MILLISECONDS_BY_UNIT.keys()].join(', ')}) ${range}`
  return textValue(texts, expected, (text) => readMeasure(text, MILLISECONDS_BY_UNIT, bounds) as Milliseconds | undefined)
}

/** A size such as `16 KiB`; the bounds are in bytes. */
export function sizeValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  const range = `from ${writeMeasure(bounds.minimum, BYTES_BY_UNIT)} to ${writeMeasure(bounds.maximum, BYTES_BY_UNIT)}`
  const expected = `a size such as 16 KiB (units ${[...BYTES_BY_UNIT.keys()].join(', ')}) ${range}`
  return textValue(texts, expected, (text) => readMeasure(text, BYTES_BY_UNIT, bounds))
}

/** A share such as `99.9 %`. */
export function percentValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  const expected = `a share such as 10 % from ${bounds.minimum} % to ${bounds.maximum} %`
  return textValue(texts, expected, (text) => {
    const match = PERCENT_PATTERN.exec(text)
    return match === null ? undefined : within(Number(match[1]), bounds)
  })
}

/** `yes` or `no`. */
export function flagValue (texts: IValueTexts): z.ZodType<boolean> {
  return textValue(texts, 'yes or no', (text) => text === 'yes' ? true : text === 'no' ? false : undefined)
}

/** One of a few words. */
export function choiceValue<TChoice extends string> (texts: IValueTexts, choices: readonly TChoice[]): z.ZodType<TChoice> {
  return textValue(texts, `one of ${choices.join(', ')}`, (text) => choices.find((choice) => choice === text))
}

/** A name of the branded type `TName`. */
export function nameValue<TName extends Brand<string, string>> (texts: IValueTexts): z.ZodType<TName> {
  const expected = 'a name of up to 63 lower-case letters, digits and inner hyphens'
  return textValue(texts, expected, (text) => isName(text) ? text as TName : undefined)
}

function within (value: number, bounds: IValueBounds): number | undefined {
  return value >= bounds.minimum && value <= bounds.maximum ? value : undefined
}

function readMeasure (text: string, units: ReadonlyMap<string, number>, bounds: IValueBounds): number | undefined {
  const match = MEASURE_PATTERN.exec(text)
  const factor = match === null ? undefined : units.get(match[2])
  return match === null || factor === undefined ? undefined : within(Number(match[1]) * factor, bounds)
}

/** Writes a measure in the largest unit that gives a whole number. */
function writeMeasure (value: number, units: ReadonlyMap<string, number>): string {
  let text = String(value)
  for (const [unit, factor] of units) {
    if (value % factor === 0 && (value !== 0 || factor === 1)) text = `${value / factor} ${unit}`
  }
  return text
}
