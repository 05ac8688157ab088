/** A log that keeps its events for assertions. */
import type { IEventDefinition, IEventFields, ILogService } from '../src/common/Services.js'

/** One event as it was logged. */
export interface IRecordedEvent {
  readonly name: string
  readonly fields: IEventFields
}

/** Keeps every event in order. */
export class RecordingLog implements ILogService {
  public readonly events: IRecordedEvent[] = []

  public log (event: IEventDefinition, fields: IEventFields = {}): void {
    this.events.push({ name: event.name, fields })
  }
}
