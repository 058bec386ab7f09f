import {spawn, type ChildProcess as NodeChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream} from 'node:fs';
import {createInterface} from 'node:readline';

/** A process that the launcher started and that only it may end. */
export class ChildProcess {
  private constructor(private readonly child: NodeChildProcess) {}

  /** Starts a Node script; its messages go to a file. */
  static start(
    script: string,
    scriptArguments: readonly string[],
    logFile: string,
  ): ChildProcess {
    const child = spawn(process.execPath, [script, ...scriptArguments], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(logFile, {flags: 'a'});
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    return new ChildProcess(child);
  }

  get pid(): number {
    return this.child.pid ?? 0;
  }

  /** Whether the process has ended. */
  get ended(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** First line of the standard output. */
  async firstLine(): Promise<string> {
    const {stdout} = this.child;
    if (stdout === null) {
      return '';
    }
    const lines = createInterface({input: stdout});
    const [line] = (await once(lines, 'line')) as [string];
    return line;
  }

  signal(signal: NodeJS.Signals): void {
    if (!this.ended) {
      this.child.kill(signal);
    }
  }

  /** Waits for the end; returns the exit code, null after a signal. */
  async waitForEnd(): Promise<number | null> {
    if (!this.ended) {
      await once(this.child, 'exit');
    }
    return this.child.exitCode;
  }
}
