import {createHash} from 'node:crypto';
import {once} from 'node:events';
import {type AddressInfo, createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

import {type EntryHost, keyRing, mayAct, ownedServers} from '@basilworks/core';
import {
  type Deployment,
  HALLORAN,
  StandInPlatform,
} from '@basilworks/stand-ins';
import {fetch} from 'undici';

import {Daemon} from '../daemon.js';
import type {Logger} from '../logger.js';
import {daemonSettingsSchema} from '../settings-schema.js';

const POLL_MS = 20;
const WAIT_LIMIT_MS = 30_000;

/** Bearer tokens by member. */
export const TOKENS = {'crew-one': 'token-one', 'crew-two': 'token-two'};

/** Bearer token of the operator `planner`. */
export const OPERATOR_TOKEN = 'token-planner';

const digestOf = (token: string): string =>
  createHash('sha256').update(token).digest('hex');

const SILENT_LOGGER: Logger = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};

/** One daemon of a test fleet. */
export interface FleetHost {
  readonly entry: EntryHost;
  readonly daemon: Daemon;
  readonly stopped: Promise<void>;
  /** Address of its callers' listener. */
  readonly address: string;
}

/** Daemons and stand-ins in this process, on loopback. */
export class TestFleet {
  readonly hosts: FleetHost[] = [];

  private constructor(readonly platform: StandInPlatform) {}

  static async start(
    hosts: number,
    deployment: Partial<Deployment> = {},
  ): Promise<TestFleet> {
    const platform = await StandInPlatform.start({
      ...HALLORAN,
      hostListLagMs: 0,
      pools: [{pool: 'assistant-models', kind: 'engine', servers: 2}],
      ...deployment,
    });
    const fleet = new TestFleet(platform);
    for (let index = 0; index < hosts; index++) {
      await fleet.addHost(`entry-${index + 1}`);
    }
    await waitFor(() =>
      fleet.hosts.every(({daemon}) => daemon.context.readiness.ready),
    );
    return fleet;
  }

  /** Applies a sheet of adapters at version `v1` at the first host. */
  async applyAdapters(adapters: readonly string[]): Promise<void> {
    const header = 'adapter,base_model,version,urgency,priority,service,retire';
    const rows = adapters.map(
      (adapter) => `${adapter},marine-8b,v1,50,standard,assistant-models,no`,
    );
    const [first] = this.hosts;
    // The first signing key is a revision of its own, which a sheet may race.
    await waitFor(() =>
      this.hosts.every(
        ({daemon}) => keyRing(daemon.context.loop.state).length > 0,
      ),
    );
    first?.daemon.context.loop.post({
      type: 'sheet-submitted',
      submission: 'test',
      operator: 'planner',
      text: [header, ...rows].join('\n'),
      dryRun: false,
      allowMassRetirement: false,
      expectedRevision: undefined,
    });
    const [adapter = ''] = adapters;
    for (const {address} of this.hosts) {
      await waitFor(async () => {
        const url = `http://${address}/v1/address?model=${adapter}@v1`;
        return (await fetch(url)).status === 200;
      });
    }
    await waitFor(() => this.someServerIsOwned());
  }

  async post(
    host: FleetHost | undefined,
    body: unknown,
    headers: Readonly<Record<string, string>> = {},
  ) {
    return fetch(`http://${host?.address ?? ''}/v1/chat/completions`, {
      method: 'POST',
      headers: {authorization: `Bearer ${TOKENS['crew-one']}`, ...headers},
      body: typeof body === 'string' ? body : JSON.stringify(body),
    });
  }

  /** Sends a request, again while it is refused before it ran. */
  async ask(host: FleetHost | undefined, body: unknown) {
    for (;;) {
      const answer = await this.post(host, body);
      if (answer.status !== 503) {
        return answer;
      }
      const {error} = (await answer.json()) as {error: {notRun: boolean}};
      if (!error.notRun) {
        throw new WaitError('a refusal that does not say "not run"');
      }
      await sleep(POLL_MS);
    }
  }

  close(): void {
    for (const {daemon} of this.hosts) {
      daemon.close();
    }
    this.platform.close();
  }

  private someServerIsOwned(): boolean {
    return this.platform.servers().some(({server}) =>
      this.hosts.some(({daemon: {context}}) => {
        const {state} = context.loop;
        return (
          ownedServers(state).includes(server) &&
          mayAct(state, server, context.loop.now())
        );
      }),
    );
  }

  private async addHost(host: string): Promise<void> {
    let finish: () => void = () => undefined;
    const stopped = new Promise<void>((resolve) => {
      finish = resolve;
    });
    const [callerAddress, peerAddress] = [
      await freeAddress(),
      await freeAddress(),
    ];
    const settings = daemonSettingsSchema.parse({
      host,
      zone: 'fairhaven',
      callerAddress,
      peerAddress,
      objectApiUrl: `http://${this.platform.objectApiAddress}`,
      hostListUrl: `http://${this.platform.hostListAddress}`,
      members: Object.entries(TOKENS).map(([member, token]) => ({
        member,
        tokenDigest: digestOf(token),
      })),
      operators: [{operator: 'planner', tokenDigest: digestOf(OPERATOR_TOKEN)}],
      operations: [
        {pool: 'billing-desk', operation: 'balance', idempotent: true},
        {pool: 'billing-desk', operation: 'top-up', idempotent: false},
      ],
      limits: {bodyBytes: 10_000},
    });
    const daemon = new Daemon(settings, finish, {logger: SILENT_LOGGER});
    const started = await daemon.start();
    if (started.isErr()) {
      // Another process took the port meanwhile.
      daemon.close();
      return this.addHost(host);
    }
    const entry = {
      host,
      zone: 'fairhaven',
      peerAddress,
      callerAddress,
      state: 'live' as const,
    };
    this.platform.hostList.putHost(entry);
    this.hosts.push({entry, daemon, stopped, address: callerAddress});
  }
}

/** Waits until a condition holds; fails the test when it never does. */
export const waitFor = async (
  condition: () => boolean | Promise<boolean>,
): Promise<void> => {
  for (let waitedMs = 0; waitedMs < WAIT_LIMIT_MS; waitedMs += POLL_MS) {
    if (await condition()) {
      return;
    }
    await sleep(POLL_MS);
  }
  throw new WaitError('the condition did not come to hold');
};

class WaitError extends Error {
  override readonly name = 'WaitError';
}

/** Finds an address of the loopback interface that nothing listens on. */
const freeAddress = async (): Promise<string> => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  await once(server, 'close');
  return `127.0.0.1:${port}`;
};
