/** Service container: looks up services by key, and starts and stops them in the order of their dependencies. */
import { KernelError } from './KernelError.js'
import type { IKernel, IService, IServiceKey, IServiceRegistration } from './Services.js'

/** Starts services after their dependencies and stops them in reverse order. */
export class Kernel implements IKernel {
  private readonly _registrations = new Map<string, IServiceRegistration<object>>()
  private readonly _instances = new Map<string, object>()
  private readonly _started: object[] = []
  private _stopping: Promise<void> | undefined

  public register<TService extends object> (registration: IServiceRegistration<TService>): void {
    const { name } = registration.key
    if (this._registrations.has(name)) throw new KernelError(`service ${name} is registered twice`, { step: 'kernel.register' })
    this._registrations.set(name, registration as unknown as IServiceRegistration<object>)
  }

  public get<TService extends object> (key: IServiceKey<TService>): TService {
    const instance = this._instances.get(key.name)
    if (instance === undefined) throw new KernelError(`service ${key.name} has not been created`, { step: 'kernel.get' })
    return instance as TService
  }

  /** Creates and starts all services. If a service fails to start, the services already started are stopped and the error is thrown. */
  public async start (): Promise<void> {
    const order = this._startOrder()
    try {
      for (const registration of order) await this._startOne(registration)
    } catch (error) {
      await this.stop()
      throw error
    }
  }

  /** Stops all started services in reverse order of their start. A further call returns the promise of the first one. */
  public stop (): Promise<void> {
    this._stopping ??= this._stopAll()
    return this._stopping
  }

  private async _startOne (registration: IServiceRegistration<object>): Promise<void> {
    const instance = registration.create(this)
    this._instances.set(registration.key.name, instance)
    if (registration.isStartedByOwner === true) return
    this._started.push(instance)
    await (instance as IService).start?.()
  }

  private async _stopAll (): Promise<void> {
    while (this._started.length > 0) {
      const instance = this._started.pop() as IService
      await instance.stop?.()
    }
  }

  private _startOrder (): Array<IServiceRegistration<object>> {
    const order: Array<IServiceRegistration<object>> = []
    const visited = new Set<string>()
    for (const name of this._registrations.keys()) this._visit(name, [], visited, order)
    return order
  }

  private _visit (name: string, path: readonly string[], visited: Set<string>, order: Array<IServiceRegistration<object>>): void {
    if (visited.has(name)) return
    if (path.includes(name)) throw new KernelError(`circular service dependency: ${[...path, name].join(' > ')}`, { step: 'kernel.start' })
    const registration = this._registrations.get(name)
    if (registration === undefined) throw new KernelError(`service ${name} is not registered but is required by ${path.at(-1) ?? 'nobody'}`, { step: 'kernel.start' })
    for (const dependency of registration.dependsOn) this._visit(dependency.name, [...path, name], visited, order)
    visited.add(name)
    order.push(registration)
  }
}
