/** Log that stores its events for assertions. */
import type { IEventDefinition, IEventFields, ILogService } from '../src/common/Services.js'

/** A logged event. */
export interface IRecordedEvent {
  readonly name: string
  readonly fields: IEventFields
}

/** Stores all events in the order in which they were logged. */
export class RecordingLog implements ILogService {
  public readonly events: IRecordedEvent[] = []

  public log (event: IEventDefinition, fields: IEventFields = {}): void {
    this.events.push({ name: event.name, fields })
  }
}
