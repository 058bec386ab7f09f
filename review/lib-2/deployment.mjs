/**
 * A small deployment on loopback for the cases of the second review: entry
 * hosts and model servers as processes of their own, and the project's stand-in
 * of the platform's store.
 */
/* global setTimeout, clearTimeout */
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

import {LinkProxy} from '../../target/review-2/link-proxy.mjs';
import {ObjectStoreStandIn} from '../../target/review-2/object-store.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '../..');
const SETTINGS_VARIABLE = 'BASILWORKS_CONFIG';

export const MODEL = 'base';
export const SERVICE = 'assist';
export const HOST_NAME = 'desk.example';
export const BEAT_MS = 1_200;
/** Time after which a case has not run. */
const LONGEST_RUN_MS = 110_000;
/** Exit code of a case whose rule was broken; `run.sh` makes it a 1. */
export const BROKEN = 10;
/** Time of an answer of the store, as the sheets of all sites say. */
const STORE_ANSWER_MS = 4;

/** The command of the deploy file, without the program. */
const command = () => {
  const file = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const [, run = ''] = /^run = "node (.*)"$/m.exec(file) ?? [];
  return run.split(' ');
};

/**
 * An address of this run alone: it is the source of no other connection, so
 * that none takes its ports.
 */
const RUN_IP = `127.${1 + (process.pid % 250)}.${Math.floor(process.pid / 250) % 250}.9`;

/** Free addresses; all ports are held until the last one is found. */
const freeAddresses = async (count) => {
  const probes = await Promise.all(
    Array.from(
      {length: count},
      () =>
        new Promise((resolve) => {
          const probe = createServer();
          probe.listen(0, RUN_IP, () => resolve(probe));
        }),
    ),
  );
  return Promise.all(
    probes.map((probe) => {
      const {port} = probe.address();
      return new Promise((resolve) => {
        probe.close(() => resolve(`${RUN_IP}:${port}`));
      });
    }),
  );
};

export class Deployment {
  store = new ObjectStoreStandIn();
  hosts = [];
  engines = [];
  /** All that was sent, answered and run. */
  lines = [];
  #startedAt = Date.now();
  #directory = mkdtempSync(join(tmpdir(), 'review-2-'));
  #lapses = [];

  constructor() {
    // Whatever ends this process, it ends those that it started.
    const giveUp = () => {
      this.#endAll();
      process.exit(2);
    };
    process.once('SIGTERM', giveUp);
    process.once('SIGINT', giveUp);
    process.once('uncaughtException', giveUp);
    setTimeout(giveUp, LONGEST_RUN_MS).unref();
  }

  #endAll() {
    for (const {child} of [...this.hosts, ...this.engines]) {
      child.kill('SIGKILL');
    }
  }

  /** Adds a line to the record. */
  note(what) {
    const at = ((Date.now() - this.#startedAt) / 1_000).toFixed(3);
    this.lines.push(`${at.padStart(8)} ${what}`);
  }

  async start({hosts, engines, routes, engine}) {
    this.link = new LinkProxy(await this.store.listen());
    this.link.delayMs = STORE_ANSWER_MS / 2;
    this.storeAddress = await this.link.listen();
    this.store.put('config', 'main', {
      version: 3,
      routes,
      services: [
        {
          name: SERVICE,
          healthPath: '/healthz',
          maxConns: 370,
          engine: {
            slots: 64,
            kvCapacity: 226_207,
            modelSize: 75_000,
            adapterSlots: 17,
            models: [
              {name: MODEL, modelSize: 72_700, loadS: 4.3, adapterMb: 66},
            ],
          },
        },
      ],
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 4_194_304,
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
      },
    });
    for (let index = 0; index < engines; index += 1) {
      await this.startEngine({id: `i-${index + 1}`, version: 'v1', ...engine});
    }
    for (const {register} of this.engines) {
      await register();
    }
    const addresses = await freeAddresses(5 * hosts);
    const seeds = Array.from(
      {length: Math.min(3, hosts)},
      (_, index) => addresses[5 * index + 3],
    );
    for (let index = 0; index < hosts; index += 1) {
      this.startHost(index, addresses.slice(5 * index, 5 * index + 5), seeds);
    }
    await this.waitUntilReady(this.hosts);
  }

  /** Starts a model server, which is known to nobody until it registers. */
  async startEngine(options) {
    const engine = {
      id: options.id,
      version: options.version,
      registered: undefined,
      runs: [],
      orders: [],
    };
    const all = {
      service: SERVICE,
      zone: `zone-${1 + (this.engines.length % 3)}`,
      model: MODEL,
      store: this.storeAddress,
      slots: 64,
      adapterSlots: 17,
      loadMs: 250,
      modelLoadMs: 810,
      events: 40,
      eventMs: 200,
      firstMs: 60,
      ...options,
    };
    const child = spawn(
      process.execPath,
      [join(ROOT, 'review/lib-2/engine.mjs'), JSON.stringify(all)],
      {stdio: ['pipe', 'pipe', 'ignore']},
    );
    engine.child = child;
    const waiting = new Map();
    const when = (event) =>
      new Promise((resolve) => {
        waiting.set(event, resolve);
      });
    const listens = when('listens');
    createInterface({input: child.stdout}).on('line', (line) => {
      const said = JSON.parse(line);
      if (said.event === 'order') {
        engine.orders.push(said);
      } else {
        this.note(`server  ${line}`);
      }
      if (said.event === 'runs') {
        engine.runs.push(said);
      }
      waiting.get(said.event)?.(said);
      waiting.delete(said.event);
    });
    engine.register = async () => {
      const registered = when('registered');
      child.stdin.write('register\n');
      await registered;
      engine.registered = Date.now();
    };
    this.engines.push(engine);
    engine.address = (await listens).address;
    return engine;
  }

  /** Sends a signal to a server; its entry lapses after three heartbeats. */
  signalEngine(engine, signal) {
    this.note(`signal  ${signal} to server ${engine.id}`);
    engine.child.kill(signal);
    if (engine.lapse === undefined) {
      engine.lapse = setTimeout(() => {
        this.store.remove('servers', engine.id);
        this.note(`store   entry of ${engine.id} removed: no heartbeats`);
      }, 3 * BEAT_MS);
      this.#lapses.push(engine.lapse);
    }
  }

  startHost(index, addresses, seeds) {
    const [front, ready, directory, control, relay] = addresses;
    const name = `front-${index + 1}`;
    const file = join(this.#directory, `${name}.json`);
    const settings = {
      host: name,
      zone: `zone-${1 + (index % 3)}`,
      callerAddress: front,
      readinessAddress: ready,
      directoryAddress: directory,
      peerAddress: control,
      relayAddress: relay,
      seeds,
      storeAddress: this.storeAddress,
      addressLifetimeS: 5,
      stopGraceS: 8,
      orderLeaseMs: 3_000,
      newsBounds: {
        leavingServerMs: 2_000,
        configurationMs: 2_000,
        adapterVersionMs: 5_000,
      },
      quotaTolerance: {},
      machine: {
        coreShare: 0.675,
        cores: 1,
        linkMbps: 1_000,
        memoryMb: 350,
        descriptors: 4_100,
      },
      retryBudget: {ratio: 0.2, extra: 58, windowS: 10},
    };
    writeFileSync(file, JSON.stringify(settings));
    const host = {name, file, front, ready, log: []};
    this.restartHost(host);
    this.hosts.push(host);
  }

  /** Starts the process of a host, with the settings that it had. */
  restartHost(host) {
    this.note(`start   host ${host.name}`);
    const child = spawn(process.execPath, command(), {
      cwd: ROOT,
      env: {PATH: process.env.PATH, [SETTINGS_VARIABLE]: host.file},
      stdio: ['ignore', 'pipe', 'ignore'],
    });
    createInterface({input: child.stdout}).on('line', (line) => {
      host.log.push(line);
    });
    host.child = child;
  }

  signalHost(host, signal) {
    this.note(`signal  ${signal} to host ${host.name}`);
    host.child.kill(signal);
  }

  async waitUntilReady(hosts, limitMs = 30_000) {
    const until = Date.now() + limitMs;
    for (const host of hosts) {
      for (;;) {
        const answer = await globalThis
          .fetch(`http://${host.ready}/v1/ready`)
          .catch(() => undefined);
        if (answer?.status === 200) {
          break;
        }
        if (Date.now() > until) {
          throw new Error(`${host.name} is not ready`);
        }
        await sleep(100);
      }
    }
  }

  /** Ends all processes and writes the record. */
  stop(recordFile, verdict) {
    this.#lapses.forEach(clearTimeout);
    this.#endAll();
    this.link?.close();
    this.store.close();
    writeFileSync(
      recordFile,
      `${[...this.lines, '', ...verdict].join('\n')}\n`,
    );
    if (process.env.KEEP_LOGS !== undefined) {
      for (const {name, log} of this.hosts) {
        writeFileSync(
          join(process.env.KEEP_LOGS, `${name}.log`),
          log.join('\n'),
        );
      }
    }
    rmSync(this.#directory, {recursive: true, force: true});
  }
}
