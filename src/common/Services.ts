/** Service interfaces of the micro-kernel and of what every folder uses. */
import type { Registry } from 'prom-client'
import type { IDisposable, Milliseconds, Timestamp } from './Types.js'

/** Typed key under which a service is found in the kernel. */
export interface IServiceKey<TService> {
  readonly name: string
  /** Carries the type only; never set. */
  readonly _type?: TService
}

/** Makes the key of a service. */
export function createServiceKey<TService> (name: string): IServiceKey<TService> {
  return Object.freeze({ name })
}

/** Optional life cycle of a service in the kernel. */
export interface IService {
  /** Starts the service after everything it depends on has started. */
  start? (): Promise<void> | void
  /** Stops the service gracefully, before anything it depends on stops. */
  stop? (): Promise<void> | void
}

/** How one service is made. */
export interface IServiceRegistration<TService extends object> {
  readonly key: IServiceKey<TService>
  /** Services that must be started before this one. */
  readonly dependsOn: ReadonlyArray<IServiceKey<object>>
  /** True for a part of another service, which starts and stops it; the kernel then does neither. */
  readonly isStartedByOwner?: boolean
  /** Makes the service; every dependency can be had from the kernel. */
  create (kernel: IKernel): TService
}

/** Finds services by key; starts and stops them in the order of their dependencies. */
export interface IKernel {
  register<TService extends object> (registration: IServiceRegistration<TService>): void
  get<TService extends object> (key: IServiceKey<TService>): TService
  start (): Promise<void>
  stop (): Promise<void>
}

/** Source of the present time and of timers. The only one in the program. */
export interface IClockService {
  /** The present time. */
  now (): Timestamp
  /** Calls `action` once after `delay`. */
  after (delay: Milliseconds, action: () => void): IDisposable
  /** Calls `action` again and again, each time `interval` after the call before. */
  every (interval: Milliseconds, action: () => void): IDisposable
  /** Resolves after `delay`. */
  sleep (delay: Milliseconds): Promise<void>
}

/** Source of random numbers; seeded in tests and benches. */
export interface IRandomService {
  /** A number from 0 up to, but not including, 1. */
  fraction (): number
  /** A whole number from 0 up to, but not including, `limit`. */
  integer (limit: number): number
}

/** Severity of an event. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug'

/** One entry of the catalogue of events, docs/EVENTS.md. */
export interface IEventDefinition {
  /** Unique number; the thousands tell the folder. */
  readonly number: number
  /** Unique name in kebab-case. */
  readonly name: string
  readonly level: EventLevel
  /** What the event means and what an operator may do. */
  readonly meaning: string
}

/** One of several like parts of an event, for example an attempt of a request. */
export type EventPart = Readonly<Record<string, string | number | undefined>>

/** Values logged with an event. `step` and `peer` are given where they exist. */
export interface IEventFields {
  readonly step?: string
  readonly peer?: string
  readonly [field: string]: string | number | boolean | undefined | readonly EventPart[]
}

/** Writes numbered events. */
export interface ILogService {
  log (event: IEventDefinition, fields?: IEventFields): void
}

/** Holds the registry of all metrics of the process. */
export interface IMetricsService {
  readonly registry: Registry
}

/** What must hold at all times. */
export type InvariantName =
  | 'version-never-lower'
  | 'route-has-resource'
  | 'applied-whole'
  | 'report-not-ahead'
  | 'not-run-never-started'
  | 'at-most-once'
  | 'answer-matches-request'
  | 'no-work-after-drain'

/** Asserts invariants; a breach is counted as a metric and logged as an event, never hidden. */
export interface IInvariantService {
  /** Returns `condition`, so that the caller can refuse the action that would break it. */
  check (condition: boolean, invariant: InvariantName, step: string, peer?: string): boolean
  /** Number of breaches since start. */
  readonly breaches: number
}

export const IClockService = createServiceKey<IClockService>('clock')
export const IRandomService = createServiceKey<IRandomService>('random')
export const ILogService = createServiceKey<ILogService>('log')
export const IMetricsService = createServiceKey<IMetricsService>('metrics')
export const IInvariantService = createServiceKey<IInvariantService>('invariants')
