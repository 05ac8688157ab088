/** Branded identifiers and units shared by every folder. */

/** Makes a primitive type nominal, so that different kinds of ids cannot be confused. */
export type Brand<TValue, TName extends string> = TValue & { readonly __brand: TName }

/** Name of a service, as in the `name` key of its document. */
export type ServiceName = Brand<string, 'ServiceName'>
/** Name of a resource inside one service's document. */
export type ResourceName = Brand<string, 'ResourceName'>
/** Name of a route inside one service's document. */
export type RouteName = Brand<string, 'RouteName'>
/** Name of the team that owns a document. */
export type TeamName = Brand<string, 'TeamName'>
/** Version of a service's document: consecutive numbers from 1. */
export type DocumentVersion = Brand<number, 'DocumentVersion'>
/** SHA-256 of a document's text, 64 lower-case hexadecimal digits. */
export type ContentHash = Brand<string, 'ContentHash'>
/** Id that a client chooses for one submission; a retry carries the same id. */
export type SubmissionId = Brand<string, 'SubmissionId'>
/** Position in the change log of accepted documents: consecutive numbers from 1. */
export type ChangeSequence = Brand<number, 'ChangeSequence'>

/** Id of one running process of savoryknotd. A restarted process has a new id. */
export type NodeId = Brand<string, 'NodeId'>
/** Id of one endpoint: an instance of one service on one upstream VM. */
export type EndpointId = Brand<string, 'EndpointId'>
/** Name of a failure domain. */
export type FailureDomain = Brand<string, 'FailureDomain'>
/** Name of a region. */
export type Region = Brand<string, 'Region'>
/** `host:port`, where host is an IP address; IPv6 in brackets. */
export type NetworkAddress = Brand<string, 'NetworkAddress'>

/** Id of one call, created at the first hop. */
export type RequestId = Brand<string, 'RequestId'>
/** Value of a caller's `Idempotency-Key` header. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>
/** Hash of the service, route and body of a request. */
export type RequestFingerprint = Brand<string, 'RequestFingerprint'>

/** A duration in milliseconds. */
export type Milliseconds = Brand<number, 'Milliseconds'>
/** Milliseconds since the Unix epoch, by the local clock. */
export type Timestamp = Brand<number, 'Timestamp'>

/** Failure domain and region in which a process runs. */
export interface ILocation {
  readonly failureDomain: FailureDomain
  readonly region: Region
}

/** An object that owns resources until it is disposed. */
export interface IDisposable {
  /** Releases the resources of the object. A second call has no effect. */
  dispose (): void
}

/** Subscribes a listener; disposing the returned object ends the subscription. */
export type IEvent<TArgument> = (listener: (argument: TArgument) => void) => IDisposable
