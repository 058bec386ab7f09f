import {createRequire} from 'node:module';
import path from 'node:path';

import type {EntryHost} from '@basilworks/core';
import {
  type Deployment,
  type Fault,
  faultAnswerSchema,
  type StandInAddresses,
  standInAddressesSchema,
  type StandInHistory,
  standInHistorySchema,
} from '@basilworks/stand-ins';
import {request} from 'undici';

import {ChildProcess} from './child-process.js';

const require = createRequire(import.meta.url);

/** Path of a compiled script of a package of this workspace. */
export const scriptOf = (packageName: string): string =>
  path.join(path.dirname(require.resolve(packageName)), 'main.js');

/** The stand-ins' process, and its control interface. */
export class PlatformClient {
  private constructor(
    readonly process: ChildProcess,
    readonly addresses: StandInAddresses,
  ) {}

  static async start(
    deployment: Deployment,
    directory: string,
  ): Promise<PlatformClient> {
    const child = ChildProcess.start(
      scriptOf('@basilworks/stand-ins'),
      ['--deployment', JSON.stringify(deployment)],
      path.join(directory, 'stand-ins.log'),
    );
    const line: unknown = JSON.parse(await child.firstLine());
    return new PlatformClient(child, standInAddressesSchema.parse(line));
  }

  /** Adds entry hosts to the host list. */
  async putEntryHosts(hosts: readonly EntryHost[]): Promise<void> {
    await this.post('/entry-hosts', hosts);
  }

  /** Switches a fault; returns when it took effect on the stand-ins' clock. */
  async setFault(fault: Fault): Promise<number> {
    return faultAnswerSchema.parse(await this.post('/faults', fault)).atMs;
  }

  async readHistory(): Promise<StandInHistory> {
    const {control} = this.addresses;
    const {body} = await request(`http://${control}/history`);
    return standInHistorySchema.parse(await body.json());
  }

  private async post(route: string, value: unknown): Promise<unknown> {
    const {body} = await request(`http://${this.addresses.control}${route}`, {
      method: 'POST',
      body: JSON.stringify(value),
    });
    return body.json();
  }
}
