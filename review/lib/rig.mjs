// What the scripts of the cases share: a record, entry hosts as processes,
// server stand-ins and callers.
import {spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {Agent, createServer, request as startRequest} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import {
  clearInterval,
  clearTimeout,
  setInterval,
  setTimeout,
} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

export {sleep};

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The words of the entry host's command in the deploy file. */
const [PROGRAM, ...WORDS] = (
  /^run = "(.+)"$/m.exec(
    readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8'),
  )?.[1] ?? ''
).split(' ');

/** Restart delay of a process that has ended, milliseconds. */
const RESTART_MS = 1_000;

const startedMs = performance.now();
export const nowMs = () => Math.round(performance.now() - startedMs);

/** Lines of the record, written to `record.txt` beside the script. */
export class Record {
  lines = [];
  constructor(directory) {
    this.file = join(directory, 'record.txt');
  }
  add(line) {
    this.lines.push(`${String(nowMs()).padStart(6)} ${line}`);
  }
  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Finds free ports of a loopback address. */
const freePorts = async (host, count) => {
  const probes = [];
  for (let index = 0; index < count; index += 1) {
    const probe = createNetServer();
    await new Promise((resolve, reject) => {
      probe.once('error', reject);
      probe.listen(0, host, resolve);
    });
    probes.push(probe);
  }
  const ports = probes.map((probe) => probe.address().port);
  await Promise.all(
    probes.map((probe) => new Promise((resolve) => probe.close(resolve))),
  );
  return ports;
};

/** Loopback address of a host, its own so that ports don't clash. */
export const hostIp = (index) =>
  `127.${10 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}.${index + 1}`;

export class Host {
  exits = [];
  logs = [];
  stopped = true;
  constructor(index, directory, record) {
    this.index = index;
    this.name = `front-${index}`;
    this.zone = `zone-${index % 3}`;
    this.directory = directory;
    this.record = record;
  }

  async prepare() {
    this.ip = hostIp(this.index);
    const [front, ready, directory, peer, relay] = await freePorts(this.ip, 5);
    this.ports = {front, ready, directory, peer, relay};
  }

  address(kind) {
    return `${this.ip}:${this.ports[kind]}`;
  }

  start({storeAddress, seeds}) {
    const file = join(this.directory, `${this.name}.json`);
    // `deploy/settings.template.jsonc`, filled in for a small deployment.
    const settings = {
      host: this.name,
      zone: this.zone,
      callerAddress: this.address('front'),
      readinessAddress: this.address('ready'),
      directoryAddress: this.address('directory'),
      peerAddress: this.address('peer'),
      relayAddress: this.address('relay'),
      seeds,
      storeAddress,
      addressLifetimeS: 5,
      stopGraceS: 8,
      orderLeaseMs: 3_000,
      newsBounds: {
        leavingServerMs: 2_000,
        configurationMs: 2_000,
        adapterVersionMs: 5_000,
      },
      quotaTolerance: {},
      machine: {coreShare: 0.675, cores: 1, linkMbps: 1_000, memoryMb: 350},
      retryBudget: {ratio: 0.2, extra: 54, windowS: 10},
    };
    writeFileSync(file, JSON.stringify(settings));
    this.stopped = false;
    const run = () => {
      const child = spawn(PROGRAM, WORDS, {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          BASILWORKS_CONFIG: file,
        },
        stdio: ['ignore', 'pipe', 'pipe'],
      });
      this.child = child;
      this.record.add(`${this.name} starts`);
      const collect = (chunk) => {
        this.logs.push(...String(chunk).split('\n').filter(Boolean));
      };
      child.stdout.on('data', collect);
      child.stderr.on('data', collect);
      child.on('exit', (code, signal) => {
        this.record.add(`${this.name} ended: ${code ?? signal}`);
        if (!this.stopped) {
          const cause = this.logs.findLast((line) => /uncaught/.test(line));
          this.exits.push({atMs: nowMs(), code, signal, cause});
          this.record.add(`${this.name} ended by itself: ${cause ?? ''}`);
          setTimeout(() => {
            if (!this.stopped) {
              run();
            }
          }, RESTART_MS);
        }
      });
    };
    run();
  }

  async close() {
    this.stopped = true;
    const {child} = this;
    if (child !== undefined && child.exitCode === null && !child.signalCode) {
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGCONT');
      child.kill('SIGKILL');
      await ended;
    }
  }

  /** Whether the host says that it is ready. */
  isReady() {
    return new Promise((resolve) => {
      const request = startRequest(
        {
          host: this.ip,
          port: this.ports.ready,
          path: '/v1/ready',
          timeout: 1_000,
        },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.on('error', () => resolve(false));
      request.on('timeout', () => request.destroy());
      request.end();
    });
  }
}

/** Waits until all hosts have been ready; false after 20 s. */
export const allReady = async (hosts) => {
  const limitMs = nowMs() + 20_000;
  while (nowMs() < limitMs) {
    const ready = await Promise.all(hosts.map((host) => host.isReady()));
    if (ready.every(Boolean)) {
      return true;
    }
    await sleep(200);
  }
  return false;
};

/** A server of an application service, with a heartbeat in the store. */
export class AppServer {
  runs = [];
  running = 0;
  sequence = 0;
  born = Date.now();
  constructor({id, service, zone, slots = 6, workMs = 43, record, ...rest}) {
    // `answer` returns the body, `spoil` answers wrongly in its place.
    const {answer, spoil} = rest;
    Object.assign(this, {id, service, zone, slots, workMs, record});
    Object.assign(this, {answer, spoil});
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.keepAliveTimeout = 20_000;
  }

  async listen(host = '127.0.0.1') {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    this.address = `${host}:${this.server.address().port}`;
  }

  /** Writes its entry now and every 1.2 s, while `reaches` says so. */
  register(store, reaches = () => true) {
    this.store = store;
    this.beat = () => {
      if (reaches()) {
        this.sequence += 1;
        store.put('servers', this.id, this.entry());
      }
    };
    this.beat();
    this.timer = setInterval(this.beat, 1_200);
  }

  entry() {
    const {service, address, zone, slots, sequence, born} = this;
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence,
      born,
    };
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  async handle(request, response) {
    const header = (name) => request.headers[name];
    let body = '';
    try {
      for await (const chunk of request) {
        body += chunk;
      }
    } catch {
      return;
    }
    const load = `${this.running},0,${this.slots}`;
    const common = {
      'X-Basilworks-Server-Load': load,
      'X-Basilworks-Instance-Id': this.id,
    };
    if (request.url === '/healthz') {
      response.writeHead(200, common);
      response.end();
      return;
    }
    const id = header('x-basilworks-request-id');
    const expected = header('x-basilworks-expect-instance');
    const echo = id === undefined ? {} : {'X-Basilworks-Request-Id': id};
    const misdirected = expected !== undefined && expected !== this.id;
    if (misdirected || this.running >= this.slots) {
      response.writeHead(misdirected ? 421 : 503, {
        ...common,
        ...echo,
        'X-Basilworks-Not-Executed': '1',
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    if (id === undefined) {
      response.writeHead(400, {...common, 'X-Basilworks-Not-Executed': '1'});
      response.end();
      return;
    }
    const run = {id, atMs: nowMs(), url: request.url, server: this.id};
    this.runs.push(run);
    this.record.add(`${this.id} runs ${id} ${request.url}`);
    this.running += 1;
    await sleep(this.workMs);
    this.running -= 1;
    if (response.destroyed) {
      return;
    }
    if (this.spoil?.(run, response) === true) {
      return;
    }
    await this.respond(
      run,
      response,
      {
        ...common,
        ...echo,
        'X-Basilworks-Server-Signature': `signed.${this.id}.${id}`,
      },
      body,
    );
  }

  /** Writes the answer to a request that has run. */
  async respond(run, response, headers, body) {
    const text = this.answer?.(run) ?? `${this.id} ${run.id} ${body.length}`;
    response.writeHead(200, {...headers, 'Content-Length': text.length});
    response.end(text);
  }
}

/** Sets a disruption on for some time, `count` times, with pauses after each. */
export const occur = async (record, trouble, {count, forMs, pauseMs}, set) => {
  for (let index = 0; index < count; index += 1) {
    record.add(`disruption ${trouble ? 'on' : 'left out'}, ${forMs} ms`);
    set(trouble);
    await sleep(forMs);
    set(false);
    record.add('disruption over');
    await sleep(pauseMs);
  }
};

let serial = 0;

/** Sends one request; resolves once it is answered or its connection ends. */
export const send = (
  host,
  {
    agent,
    method = 'POST',
    path,
    body = 'x'.repeat(600),
    deadlineMs = 1_500,
    abandonMs = deadlineMs + 500,
  },
) =>
  new Promise((resolve) => {
    const id = `r${process.pid.toString(16)}${(serial += 1)
      .toString(16)
      .padStart(6, '0')}`;
    const result = {id, host: host.name, path, sentMs: nowMs(), kept: false};
    const finish = (fields) => {
      resolve(Object.assign(result, {endMs: nowMs()}, fields));
    };
    const request = startRequest(
      {
        agent,
        host: host.ip,
        port: host.ports.front,
        path,
        method,
        headers: {
          Host: 'site.example',
          'X-Basilworks-Request-Id': id,
          'X-Basilworks-Deadline-Ms': String(deadlineMs),
          ...(method === 'POST' ? {'Content-Length': body.length} : {}),
        },
      },
      (response) => {
        let text = '';
        response.on('data', (chunk) => {
          text += chunk;
        });
        response.on('close', () => {
          finish({
            status: response.statusCode,
            complete: response.complete,
            signature: response.headers['x-basilworks-server-signature'],
            text,
          });
        });
      },
    );
    request.on('socket', () => {
      result.kept = request.reusedSocket;
    });
    request.on('error', ({code, message}) => {
      finish({status: 0, error: code ?? message});
    });
    request.setTimeout(abandonMs, () => request.destroy());
    request.end(method === 'POST' ? body : undefined);
  });

/** A caller with one kept connection to one host at a time. */
export const keptAgent = () =>
  new Agent({keepAlive: true, maxSockets: 1, keepAliveMsecs: 60_000});

const route = (name, service, extra) => ({
  name,
  host: 'site.example',
  pathPrefix: `/${name}/`,
  timeoutMs: 800,
  targetLatencyMs: 193,
  priority: 2,
  maxAttempts: 1,
  sticky: false,
  canResume: false,
  service,
  ...extra,
});

/** A configuration as the operator writes it. */
export const configuration = (version, routes, services) => ({
  version,
  routes: routes.map(([name, service, extra]) => route(name, service, extra)),
  services: services.map(([name, extra]) => ({
    name,
    healthPath: '/healthz',
    maxConns: 100,
    ...extra,
  })),
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  },
});

/** Lag of the script itself beyond which its measurements don't count, ms. */
const MOST_LAG_MS = 200;
const LAG_CHECK_MS = 20;

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if not, and 2 if it
 * couldn't run, took too long, or lagged so much itself that its measurements
 * can't be relied on.
 */
export const runCase = async (scriptUrl, play) => {
  const record = new Record(fileURLToPath(new URL('.', scriptUrl)));
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const parts = [];
  const trouble = process.env.TROUBLE !== '0';
  let code = 2;
  // However the case ends, so do its processes and its temporary folder.
  process.on('exit', () => {
    for (const part of parts) {
      part.child?.kill('SIGKILL');
    }
    rmSync(folder, {recursive: true, force: true});
  });
  const giveUp = (reason) => {
    record.add(`could not run: ${reason}`);
    record.save();
    process.exit(2);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(signal, () => giveUp(signal));
  }
  process.on('uncaughtException', (error) => giveUp(error.stack));
  const limit = setTimeout(() => giveUp('it took too long'), 110_000);
  let checkedMs = performance.now();
  let lagMs = 0;
  const lag = setInterval(() => {
    const atMs = performance.now();
    lagMs = Math.max(lagMs, Math.round(atMs - checkedMs - LAG_CHECK_MS));
    checkedMs = atMs;
  }, LAG_CHECK_MS);
  try {
    record.add(`trouble ${trouble ? 'on' : 'off'}`);
    const broken = await play({
      record,
      folder,
      trouble,
      own: (part) => {
        parts.push(part);
        return part;
      },
    });
    record.add(`longest lag of this script ${lagMs} ms`);
    code = broken === undefined || lagMs > MOST_LAG_MS ? 2 : broken ? 1 : 0;
  } catch (error) {
    record.add(`failed: ${error.stack}`);
  }
  clearInterval(lag);
  for (const part of parts) {
    await part.close();
  }
  record.add(`exit ${code}`);
  record.save();
  process.stdout.write(`${record.lines.slice(-7).join('\n')}\n`);
  clearTimeout(limit);
  process.exit(code);
};
