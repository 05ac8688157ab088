/** Writes numbered events through winston. */
import { createLogger, format, transports, type Logger } from 'winston'
import type { EventLevel, IEventDefinition, IEventFields, ILogService } from './Services.js'

/** How events are written. */
export interface ILogServiceOptions {
  /** Least severe level written. */
  readonly level: EventLevel
  /** `json`: one object a line; `text`: for people. */
  readonly format: 'json' | 'text'
  /** Fields added to each event, for example the node's id. */
  readonly fields: IEventFields
}

/** Defaults of `LogService`. */
export const DEFAULT_LOG_OPTIONS: ILogServiceOptions = Object.freeze({ level: 'info', format: 'json', fields: {} })

/** Writes to standard error, so that standard output stays free for results. */
export class LogService implements ILogService {
  private readonly _logger: Logger

  constructor (options: Partial<ILogServiceOptions> = {}) {
    const complete = { ...DEFAULT_LOG_OPTIONS, ...options }
    this._logger = createLogger({
      level: complete.level,
      defaultMeta: complete.fields,
      format: complete.format === 'json' ? format.combine(format.timestamp(), format.json()) : textFormat(),
      transports: [new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })]
    })
  }

  public log (event: IEventDefinition, fields: IEventFields = {}): void {
    this._logger.log({ ...fields, level: event.level, message: event.name, event: event.number })
  }
}

/** One line a person can read: time, level, number, name, fields. */
function textFormat (): ReturnType<typeof format.combine> {
  return format.combine(format.timestamp(), format.printf((entry) => {
    const { timestamp, level, message, event, ...fields } = entry
    return `${String(timestamp)} ${level} ${String(event)} ${String(message)} ${JSON.stringify(fields)}`
  }))
}
