/** Writes numbered events through winston. */
import type { Writable } from 'node:stream'
import { createLogger, format, transports, type Logger } from 'winston'
import { formatLogLine, type LogEntry } from './LogLine.js'
import type { EventLevel, IEventDefinition, IEventFields, ILogService } from './Services.js'

/** Destination of log lines. */
export type LogTransport = InstanceType<typeof transports.Console> | InstanceType<typeof transports.Stream>

/** Options of `LogService`. */
export interface ILogServiceOptions {
  /** Least severe level written. */
  readonly level: EventLevel
  /** `json`: one JSON object per line; `text`: human-readable. */
  readonly format: 'json' | 'text'
  /** Fields added to each event, for example the node's id. */
  readonly fields: IEventFields
}

/** Defaults of `LogService`. */
export const DEFAULT_LOG_OPTIONS: ILogServiceOptions = Object.freeze({ level: 'info', format: 'json', fields: {} })

/** Levels by decreasing severity. */
const LEVELS: readonly EventLevel[] = Object.freeze(['error', 'warn', 'info', 'debug'])
/** Symbol keys under which winston's transports expect the level of an entry and its formatted line. */
const LEVEL = Symbol.for('level')
const MESSAGE = Symbol.for('message')

/**
 * Writes to standard error by default, so that standard output stays free for results. JSON lines are passed directly to the
 * transport: winston's own streams cost more than formatting the line, and a node writes a line for each request.
 */
export class LogService implements ILogService {
  private readonly _options: ILogServiceOptions
  /** Undefined if the format is `json`. */
  private readonly _logger: Logger | undefined

  /** `_transport` can be set for tests and for other outputs; by default events are written to standard error. */
  constructor (options: Partial<ILogServiceOptions> = {}, private readonly _transport: LogTransport = consoleTransport()) {
    this._options = { ...DEFAULT_LOG_OPTIONS, ...options }
    const { level, fields } = this._options
    if (this._options.format === 'json') return
    this._logger = createLogger({ level, defaultMeta: fields, format: textFormat(), transports: [_transport] })
  }

  /** Number of bytes buffered for standard output that its reader has not consumed. */
  public get waitingBytes (): number {
    return process.stdout.writableLength
  }

  public log (event: IEventDefinition, fields: IEventFields = {}): void {
    // winston stores the name of the event under `message`, so a field named `message` is written as `detail`.
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

/** Transport to standard output that does not block on a slow reader. */
export function outputTransport (): LogTransport {
  // Writes to a pipe would block the process while nobody reads it; the handle exists only for pipes and sockets.
  const { _handle: handle } = process.stdout as { _handle?: { setBlocking?: (isBlocking: boolean) => void } }
  handle?.setBlocking?.(false)
  // The reader may close the pipe; there is no output left to report the error to, and the node continues to run.
  process.stdout.on('error', () => undefined)
  return batchedTransport(process.stdout)
}

/** Transport that passes the lines of one event loop callback to the system in a single call. */
export function batchedTransport (stream: Writable): LogTransport {
  let isCorked = false
  // A process that exits does not run the callback below.
  process.once('exit', () => stream.uncork())
  const transport = new transports.Stream({ stream })
  const write = transport.write.bind(transport) as (entry: unknown) => boolean
  transport.write = (entry: unknown): boolean => {
    if (!isCorked) {
      isCorked = true
      stream.cork()
      process.nextTick(() => {
        isCorked = false
        stream.uncork()
      })
    }
    return write(entry)
  }
  return transport
}

function consoleTransport (): LogTransport {
  return new transports.Console({ stderrLevels: ['error', 'warn', 'info', 'debug'] })
}

/** Human-readable line with time, level, number, name and fields. */
function textFormat (): ReturnType<typeof format.combine> {
  return format.combine(format.timestamp(), format.printf((entry) => {
    const { timestamp, level, message, event, ...fields } = entry
    return `${String(timestamp)} ${level} ${String(event)} ${String(message)} ${JSON.stringify(fields)}`
  }))
}
