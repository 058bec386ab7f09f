/** Fields of a log line besides time, level, host and message. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | undefined>
> &
  Readonly<Partial<Record<'time' | 'level' | 'host' | 'message', never>>>;

/** Writes JSON lines, one for each message. */
export interface Logger {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

/** Levels from the gravest to the least. */
const LEVELS = ['error', 'warn', 'info', 'debug'] as const;
type Level = (typeof LEVELS)[number];

/** Lines of this turn of the loop. */
let pending = '';

const writePending = (): void => {
  process.removeListener('exit', writePending);
  const text = pending;
  pending = '';
  process.stdout.write(text);
};

/** Writes the lines of one turn of the loop together, also of the last one. */
const writeSoon = (line: string): void => {
  if (pending === '') {
    setImmediate(writePending);
    process.once('exit', writePending);
  }
  pending += line;
};

/** Fields that every line has. */
const OWN_FIELDS = ['time', 'level', 'host', 'message'] as const;

/** Returns a logger whose lines carry the host's name. */
export const createLogger = (
  host: string,
  level: Level,
  write: (line: string) => void = writeSoon,
): Logger => {
  const log = (of: Level) => {
    if (LEVELS.indexOf(of) > LEVELS.indexOf(level)) {
      return () => undefined;
    }
    const fixed = `"level":"${of}","host":${JSON.stringify(host)}`;
    return (message: string, fields?: LogFields) => {
      const time = new Date().toISOString();
      const own = `{"time":"${time}",${fixed},"message":${JSON.stringify(message)}`;
      const more = fields === undefined ? '{}' : JSON.stringify(others(fields));
      write(more === '{}' ? `${own}}\n` : `${own},${more.slice(1)}\n`);
    };
  };
  return {
    error: log('error'),
    warn: log('warn'),
    info: log('info'),
    debug: log('debug'),
  };
};

/** The fields that don't stand in a line's own. */
const others = (fields: LogFields): LogFields =>
  OWN_FIELDS.some((name) => name in fields)
    ? Object.fromEntries(
        Object.entries(fields).filter(
          ([name]) => !(OWN_FIELDS as readonly string[]).includes(name),
        ),
      )
    : fields;
