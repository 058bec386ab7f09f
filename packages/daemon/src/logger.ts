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

/** Returns a logger whose lines carry the host's name. */
export const createLogger = (
  host: string,
  level: Level,
  write: (line: string) => void = (line) => {
    process.stdout.write(line);
  },
): Logger => {
  const log = (of: Level) => {
    if (LEVELS.indexOf(of) > LEVELS.indexOf(level)) {
      return () => undefined;
    }
    return (message: string, fields?: LogFields) => {
      const time = new Date().toISOString();
      const line = {time, level: of, host, message};
      write(`${JSON.stringify({...line, ...fields, ...line})}\n`);
    };
  };
  return {
    error: log('error'),
    warn: log('warn'),
    info: log('info'),
    debug: log('debug'),
  };
};
