/** zod schemas of the values in INI texts, each with its description, expected format and default. */
import { z } from 'zod'
import { isName } from './Ids.js'
import { excerpt } from './IniLines.js'
import type { Brand, Milliseconds } from './Types.js'
import {
  EXPECTED_FLAG, expectedCount, expectedDuration, expectedFractionalDuration, expectedNumber, expectedPercent, expectedSize,
  parseCount, parseDuration, parseFlag, parseFractionalDuration, parseNumber, parsePercent, parseSize,
  type IValueBounds, type ParsedValue
} from './Units.js'

/** Documentation of one key. */
export interface IValueTexts {
  /** What the key means. */
  readonly description: string
  /** Value used when the key is missing, written as in the file; without it the key is required. */
  readonly default?: string
}

/** Content of the reference page for one key. */
export interface IValueMeta {
  readonly description: string
  readonly expected: string
  readonly default?: string
  /** True if the key may be missing although there is no default. */
  readonly isOptional?: boolean
}

/** A schema that converts text to a value; `parse` returns undefined for invalid text. */
export function textValue<TValue> (texts: IValueTexts, expected: string, parse: (text: string) => TValue | undefined): z.ZodType<TValue> {
  const schema = z.string({ error: `missing; expected ${expected}` }).transform((text, context): TValue => {
    const value = text === '' ? undefined : parse(text)
    if (value !== undefined) return value
    const message = text === '' ? `empty; expected ${expected}` : `found ${excerpt(text)}; expected ${expected}`
    context.addIssue({ code: 'custom', message })
    return z.NEVER
  })
  const meta: IValueMeta = { description: texts.description, expected, default: texts.default }
  const schemaWithDefault = texts.default === undefined ? schema : schema.prefault(texts.default)
  return schemaWithDefault.meta({ ...meta }) as unknown as z.ZodType<TValue>
}

/** Makes a key optional. */
export function optionalValue<TValue> (schema: z.ZodType<TValue>): z.ZodType<TValue | undefined> {
  return schema.optional().meta({ ...describeValue(schema), isOptional: true })
}

/** Metadata of a schema created by `textValue`. */
export function describeValue (schema: z.ZodType): IValueMeta {
  return schema.meta() as unknown as IValueMeta
}

/** A whole number without unit. */
export function countValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  return textValue(texts, expectedCount(bounds), (text) => valueOf(parseCount(text, bounds)))
}

/** A number without unit, whole or with a fraction. */
export function numberValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  return textValue(texts, expectedNumber(bounds), (text) => valueOf(parseNumber(text, bounds)))
}

/** A duration such as `800 ms` or `2.5 s`, of any fraction of a unit; the bounds are in milliseconds. */
export function fractionalDurationValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<Milliseconds> {
  return textValue(texts, expectedFractionalDuration(bounds), (text) => valueOf(parseFractionalDuration(text, bounds)))
}

/** A duration such as `800 ms`; the bounds are in milliseconds. */
export function durationValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<Milliseconds> {
  return textValue(texts, expectedDuration(bounds), (text) => valueOf(parseDuration(text, bounds)))
}

/** A size such as `16 KiB`; the bounds are in bytes. */
export function sizeValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  return textValue(texts, expectedSize(bounds), (text) => valueOf(parseSize(text, bounds)))
}

/** A share such as `99.9 %`. */
export function percentValue (texts: IValueTexts, bounds: IValueBounds): z.ZodType<number> {
  return textValue(texts, expectedPercent(bounds), (text) => valueOf(parsePercent(text, bounds)))
}

/** `yes` or `no`. */
export function flagValue (texts: IValueTexts): z.ZodType<boolean> {
  return textValue(texts, EXPECTED_FLAG, (text) => valueOf(parseFlag(text)))
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

function valueOf<TValue> (parsed: ParsedValue<TValue>): TValue | undefined {
  return parsed.isValid ? parsed.value : undefined
}
