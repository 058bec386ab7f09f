import {createConsola, type ConsolaInstance, LogLevels} from 'consola';

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

/** Returns a logger whose lines carry the host's name. */
export const createLogger = (
  host: string,
  level: 'error' | 'warn' | 'info' | 'debug',
  write: (line: string) => void = (line) => {
    process.stdout.write(line);
  },
): Logger => {
  const consola = createConsola({
    level: LogLevels[level],
    throttle: 0,
    reporters: [
      {
        log: ({date, type, args}) => {
          const [message, fields] = args as [string, LogFields?];
          const line = {time: date.toISOString(), level: type, host, message};
          write(`${JSON.stringify({...line, ...fields, ...line})}\n`);
        },
      },
    ],
  });
  return toLogger(consola);
};

const toLogger = (consola: ConsolaInstance): Logger => ({
  error: (message, fields) => {
    consola.error(message, fields);
  },
  warn: (message, fields) => {
    consola.warn(message, fields);
  },
  info: (message, fields) => {
    consola.info(message, fields);
  },
  debug: (message, fields) => {
    consola.debug(message, fields);
  },
});
