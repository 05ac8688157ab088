/** Writes numbered events through winston. */
import { createLogger, format, transports, type Logger } from 'winston'
import { formatLogLine, type LogEntry } from './LogLine.js'
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

/** From the most severe level on. */
const LEVELS: readonly EventLevel[] = Object.freeze(['error', 'warn', 'info', 'debug'])
/** Where winston's transports look for the level of an entry and for its line. */
const LEVEL = Symbol.for('level')
const MESSAGE = Symbol.for('message')

/**
 * Writes to standard error unless told otherwise, so that standard output stays free for results. Lines of JSON go to the
 * transport at once: the streams that winston puts before it cost more than the line, and a node writes one for each request.
 */
export class LogService implements ILogService {
  private readonly _options: ILogServiceOptions
  /** Undefined where lines of JSON are written. */
  private readonly _logger: Logger | undefined

  /** `_transport` is for tests; by default events go to standard error. */
  constructor (options: Partial<ILogServiceOptions> = {}, private readonly _transport: LogTransport = consoleTransport()) {
    this._options = { ...DEFAULT_LOG_OPTIONS, ...options }
    const { level, fields } = this._options
    if (this._options.format === 'json') return
    this._logger = createLogger({ level, defaultMeta: fields, format: textFormat(), transports: [_transport] })
  }

  /** Bytes of standard output that wait for its reader. */
  public get waitingBytes (): number {
    return process.stdout.writableLength
  }

  public log (event: IEventDefinition, fields: IEventFields = {}): void {
    // winston keeps the name of the event under `message`, so that a field of that name goes under `detail`.
    const { message: detail, ...others } = fields
    const entry = { ...others, detail, level: event.level, message: event.name, event: event.number }
    if (this._logger === undefined) this._writeLine(entry, event.level)
    else this._logger.log(entry)
  }

  private _writeLine (entry: LogEntry, level: EventLevel): void {
    if (LEVELS.indexOf(level) > LEVELS.indexOf(this._options.level)) return
    const line = formatLogLine({ timestamp: new Date().toISOString(), ...entry, ...this._options.fields })
    this._transport.write({ [LEVEL]: level, [MESSAGE]: line })
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
