import {hostListSchema, type HostList} from '@basilworks/core';

import {parseJson} from '../lib/parse-json.js';
import type {HttpClient} from './exchange.js';

const READ_TIMEOUT_MS = 2_000;

/** The platform's list of live and leaving hosts. */
export interface HostListSource {
  /** Reads the list; undefined when it can't be read. Never rejects. */
  read(): Promise<HostList | undefined>;
}

/** The host list over HTTP: `GET /hosts`. */
export class HttpHostList implements HostListSource {
  constructor(
    private readonly client: HttpClient,
    private readonly origin: string,
  ) {}

  async read(): Promise<HostList | undefined> {
    const result = await this.client.run({
      origin: this.origin,
      path: '/hosts',
      method: 'GET',
      timeoutMs: READ_TIMEOUT_MS,
    });
    if (result.isErr() || result.value.status !== 200) {
      return undefined;
    }
    const text = result.value.body.toString('utf8');
    return hostListSchema.safeParse(parseJson(text)).data;
  }
}
