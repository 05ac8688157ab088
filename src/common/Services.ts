/** Interfaces of the kernel and of the services that every folder uses. */
import type { Registry } from 'prom-client'
import type { IDisposable, Milliseconds, Timestamp } from './Types.js'

/** Typed key under which a service is registered in the kernel. */
export interface IServiceKey<TService> {
  readonly name: string
  /** Carries the type of the service; never set at run time. */
  readonly _type?: TService
}

/** Creates the key of a service. */
export function createServiceKey<TService> (name: string): IServiceKey<TService> {
  return Object.freeze({ name })
}

/** Optional life cycle methods of a service in the kernel. */
export interface IService {
  /** Starts the service, after all of its dependencies have started. */
  start? (): Promise<void> | void
  /** Stops the service gracefully, before any of its dependencies stops. */
  stop? (): Promise<void> | void
}

/** Registration of a service in the kernel. */
export interface IServiceRegistration<TService extends object> {
  readonly key: IServiceKey<TService>
  /** Services that must be started before this one. */
  readonly dependsOn: ReadonlyArray<IServiceKey<object>>
  /** True if another service starts and stops this one; the kernel then does neither. */
  readonly isStartedByOwner?: boolean
  /** Creates the service; its dependencies can be obtained from the kernel. */
  create (kernel: IKernel): TService
}

/** Looks up services by key, and starts and stops them in the order of their dependencies. */
export interface IKernel {
  register<TService extends object> (registration: IServiceRegistration<TService>): void
  get<TService extends object> (key: IServiceKey<TService>): TService
  start (): Promise<void>
  stop (): Promise<void>
}

/** Current time and timers; the only source of both in the program. */
export interface IClockService {
  /** The current time. */
  now (): Timestamp
  /** Calls `action` once after `delay`. */
  after (delay: Milliseconds, action: () => void): IDisposable
  /** Calls `action` repeatedly at the given interval. */
  every (interval: Milliseconds, action: () => void): IDisposable
  /** Resolves after `delay`. */
  sleep (delay: Milliseconds): Promise<void>
}

/** Source of random numbers; seeded in tests and benchmarks. */
export interface IRandomService {
  /** A number from 0 up to, but not including, 1. */
  fraction (): number
  /** A whole number from 0 up to, but not including, `limit`. */
  integer (limit: number): number
}

/** Severity of an event. */
export type EventLevel = 'error' | 'warn' | 'info' | 'debug'

/** One entry of the event catalogue, docs/EVENTS.md. */
export interface IEventDefinition {
  /** Unique number; its thousands identify the folder. */
  readonly number: number
  /** Unique name in kebab-case. */
  readonly name: string
  readonly level: EventLevel
  /** What the event means and what an operator may do. */
  readonly meaning: string
}

/** One of several similar parts of an event, for example an attempt of a request. */
export type EventPart = Readonly<Record<string, string | number | undefined>>

/** Values logged with an event; `step` and `peer` are set if they are known. */
export interface IEventFields {
  readonly step?: string
  readonly peer?: string
  readonly [field: string]: string | number | boolean | undefined | readonly EventPart[]
}

/** Writes numbered events. */
export interface ILogService {
  log (event: IEventDefinition, fields?: IEventFields): void
}

/** Provides the registry of all metrics of the process. */
export interface IMetricsService {
  readonly registry: Registry
}

/** Conditions that must hold at all times. */
export type InvariantName =
  | 'version-never-lower'
  | 'route-has-resource'
  | 'applied-whole'
  | 'report-not-ahead'
  | 'not-run-never-started'
  | 'at-most-once'
  | 'answer-matches-request'
  | 'no-work-after-drain'

/** Checks invariants; a violation is always counted as a metric and logged as an event. */
export interface IInvariantService {
  /** Returns `condition`, so that the caller can refuse the action that would violate the invariant. */
  check (condition: boolean, invariant: InvariantName, step: string, peer?: string): boolean
  /** Number of violations since the start of the process. */
  readonly breaches: number
}

export const IClockService = createServiceKey<IClockService>('clock')
export const IRandomService = createServiceKey<IRandomService>('random')
export const ILogService = createServiceKey<ILogService>('log')
export const IMetricsService = createServiceKey<IMetricsService>('metrics')
export const IInvariantService = createServiceKey<IInvariantService>('invariants')
