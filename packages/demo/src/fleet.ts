import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';

import type {EntryHost} from '@basilworks/core';
import type {Deployment} from '@basilworks/stand-ins';

import {
  type Credential,
  EntryHostProcess,
} from './launch/entry-host-process.js';
import {findFreePorts} from './launch/free-port.js';
import {PlatformClient} from './launch/platform-client.js';

const MEMBERS: readonly string[] = ['north-fleet', 'south-fleet', 'research'];

/** The processes of one deployment on loopback, and their files. */
export class Fleet {
  readonly members: readonly Credential[];
  readonly operator: Credential;

  private constructor(
    readonly deployment: Deployment,
    readonly directory: string,
    readonly platform: PlatformClient,
    readonly hosts: readonly EntryHostProcess[],
    credentials: Credentials,
  ) {
    this.members = credentials.members;
    this.operator = credentials.operator;
  }

  /** Starts the stand-ins and every entry host; not waiting for readiness. */
  static async start(
    deployment: Deployment,
    options: {readonly hosts?: number} = {},
  ): Promise<Fleet> {
    const directory = await mkdtemp(path.join(os.tmpdir(), 'basilworks-'));
    const platform = await PlatformClient.start(deployment, directory);
    const credentials = createCredentials();
    const count = options.hosts ?? deployment.entryHosts;
    const hosts = (await toEntryHosts(deployment, count)).map(
      (entry) =>
        new EntryHostProcess({
          entry,
          deployment,
          platform: platform.addresses,
          directory,
          ...credentials,
        }),
    );
    await platform.putEntryHosts(hosts.map(({entry}) => entry));
    await Promise.all(hosts.map((host) => host.start()));
    return new Fleet(deployment, directory, platform, hosts, credentials);
  }

  async waitUntilReady(): Promise<void> {
    await Promise.all(this.hosts.map((host) => host.waitUntilReady()));
  }

  /** Ends every process that was started, and removes their files. */
  async end(options: {readonly keepFiles: boolean}): Promise<void> {
    for (const host of this.hosts) {
      host.signal('SIGKILL');
    }
    this.platform.process.signal('SIGKILL');
    await Promise.all(this.hosts.map((host) => host.waitForEnd()));
    await this.platform.process.waitForEnd();
    if (!options.keepFiles) {
      await rm(this.directory, {recursive: true, force: true});
    }
  }
}

interface Credentials {
  readonly members: readonly Credential[];
  readonly operator: Credential;
}

const createCredentials = (): Credentials => ({
  members: MEMBERS.map((name) => ({name, token: `token-of-${name}`})),
  operator: {name: 'demo-operator', token: 'token-of-the-operator'},
});

const toEntryHosts = async (
  {zones}: Deployment,
  count: number,
): Promise<EntryHost[]> => {
  const ports = await findFreePorts(2 * count);
  return Array.from({length: count}, (_, index) => ({
    host: `entry-${index + 1}`,
    zone: zones[index % zones.length] ?? '',
    peerAddress: `127.0.0.1:${ports[2 * index]}`,
    callerAddress: `127.0.0.1:${ports[2 * index + 1]}`,
    state: 'live',
  }));
};
