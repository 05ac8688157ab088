/** Writes numbered events through winston. */
import { createLogger, format, transports, type Logger } from 'winston'
import type { EventLevel, IEventDefinition, IEventFields, ILogService } from './Services.js'

/** Where events go. */
export type LogTransport = InstanceType<typeof transports.Console> | InstanceType<typeof transports.Stream>

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

/** Writes to standard error unless told otherwise, so that standard output stays free for results. */
export class LogService implements ILogService {
  private readonly _logger: Logger

  /** `transport` is for tests; by default events go to standard error. */
  constructor (options: Partial<ILogServiceOptions> = {}, transport: LogTransport = consoleTransport()) {
    const complete = { ...DEFAULT_LOG_OPTIONS, ...options }
    this._logger = createLogger({
      level: complete.level,
      defaultMeta: complete.fields,
      format: complete.format === 'json' ? format.combine(format.timestamp(), format.json()) : textFormat(),
      transports: [transport]
    })
  }

  /** Bytes of standard output that wait for its reader. */
  public get waitingBytes (): number {
    return process.stdout.writableLength
  }

  public log (event: IEventDefinition, fields: IEventFields = {}): void {
    // winston keeps the name of the event under `message`, so that a field of that name goes under `detail`.
    const { message: detail, ...others } = fields
    this._logger.log({ ...others, detail, level: event.level, message: event.name, event: event.number })
  }
}

/** Writes to standard output, without waiting for its reader. */
export function outputTransport (): LogTransport {
  // A pipe would block the process while nobody reads; the handle is there only for pipes and sockets.
  const { _handle: handle } = process.stdout as { _handle?: { setBlocking?: (isBlocking: boolean) => void } }
  handle?.setBlocking?.(false)
  // The reader of the log may go away; there is nowhere left to say so, and the node goes on.
  process.stdout.on('error', () => undefined)
  return new transports.Stream({ stream: process.stdout })
}

function consoleTransport (): LogTransport {
  return new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })
}

/** One line a person can read: time, level, number, name, fields. */
function textFormat (): ReturnType<typeof format.combine> {
  return format.combine(format.timestamp(), format.printf((entry) => {
    const { timestamp, level, message, event, ...fields } = entry
    return `${String(timestamp)} ${level} ${String(event)} ${String(message)} ${JSON.stringify(fields)}`
  }))
}
