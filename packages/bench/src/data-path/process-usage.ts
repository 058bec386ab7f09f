import {readFile} from 'node:fs/promises';

/** Clock ticks per second of the times in /proc on Linux. */
const TICKS_PER_SECOND = 100;
const KIBIBYTE = 1_024;

/** Fields of /proc/PID/stat after the process name, counted from zero. */
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** Processor time and memory of a process at one moment. */
export interface ProcessUsage {
  readonly processorSeconds: number;
  readonly residentBytes: number;
}

/** Reads the usage of a process from /proc. */
export const readProcessUsage = async (pid: number): Promise<ProcessUsage> => {
  const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  const resident = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? '0';
  return {
    processorSeconds: ticks / TICKS_PER_SECOND,
    residentBytes: Number(resident) * KIBIBYTE,
  };
};
