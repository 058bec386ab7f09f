import {createHash} from 'node:crypto';
import {writeFile} from 'node:fs/promises';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';

import type {EntryHost} from '@basilworks/core';
import type {Deployment, StandInAddresses} from '@basilworks/stand-ins';
import {request} from 'undici';

import {OPERATIONS} from '../operations.js';
import {ChildProcess} from './child-process.js';
import {scriptOf} from './platform-client.js';

const READY_POLL_MS = 50;
const READY_TIMEOUT_MS = 30_000;

/** A member or an operator, and its secret. */
export interface Credential {
  readonly name: string;
  readonly token: string;
}

export interface EntryHostOptions {
  readonly entry: EntryHost;
  readonly deployment: Deployment;
  readonly platform: StandInAddresses;
  readonly members: readonly Credential[];
  readonly operator: Credential;
  /** Directory for settings and logs. */
  readonly directory: string;
}

/** Thrown when an entry host does not become ready. */
export class NotReadyError extends Error {
  override readonly name = 'NotReadyError';
}

/** One `basilworksd` process, which may be started anew after its end. */
export class EntryHostProcess {
  private process: ChildProcess | undefined;

  constructor(private readonly options: EntryHostOptions) {}

  get entry(): EntryHost {
    return this.options.entry;
  }

  get running(): boolean {
    return this.process !== undefined && !this.process.ended;
  }

  get pid(): number {
    return this.process?.pid ?? 0;
  }

  /** Starts the daemon. */
  async start(): Promise<void> {
    const {directory, entry} = this.options;
    const file = path.join(directory, `${entry.host}.json`);
    await writeFile(file, JSON.stringify(toSettings(this.options), null, 2));
    this.process = ChildProcess.start(
      scriptOf('@basilworks/daemon'),
      ['--settings', file],
      path.join(directory, `${entry.host}.log`),
    );
  }

  /** Waits until the daemon says that it takes work. */
  async waitUntilReady(): Promise<void> {
    const deadline = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < deadline) {
      if (await this.isReady()) {
        return;
      }
      if (!this.running) {
        break;
      }
      await sleep(READY_POLL_MS);
    }
    const {host} = this.entry;
    throw new NotReadyError(
      `${host} is not ready after ${READY_TIMEOUT_MS} ms`,
    );
  }

  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  async waitForEnd(): Promise<number | null> {
    return (await this.process?.waitForEnd()) ?? null;
  }

  private async isReady(): Promise<boolean> {
    try {
      const url = `http://${this.entry.callerAddress}/readyz`;
      const {statusCode, body} = await request(url);
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }
}

const digestOf = (token: string): string =>
  createHash('sha256').update(token).digest('hex');

const toSettings = ({
  entry,
  deployment,
  platform,
  members,
  operator,
}: EntryHostOptions): unknown => ({
  host: entry.host,
  zone: entry.zone,
  peerAddress: entry.peerAddress,
  callerAddress: entry.callerAddress,
  objectApiUrl: `http://${platform.objectApi}`,
  hostListUrl: `http://${platform.hostList}`,
  weightStore: deployment.weightStore,
  operations: deployment.pools
    .filter(({kind}) => kind === 'plain')
    .flatMap(({pool}) => OPERATIONS.map((operation) => ({pool, ...operation}))),
  members: members.map(({name, token}) => ({
    member: name,
    tokenDigest: digestOf(token),
  })),
  operators: [{operator: operator.name, tokenDigest: digestOf(operator.token)}],
});
