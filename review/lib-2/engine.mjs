/**
 * A model server, as a process of its own. It keeps to PROTOCOL.md: it writes
 * its entry into the store with each heartbeat, carries out orders for
 * adapters, and streams events that go on after `Last-Event-Id`. Each line of
 * its output is a JSON object that says what it received or did.
 *
 * Started with its options as JSON. Commands come on standard input, a word a
 * line: `register` writes its entry for the first time.
 */
/* global setTimeout, setInterval, clearInterval */
import {createServer, request as startRequest} from 'node:http';
import {createInterface} from 'node:readline';

const options = JSON.parse(process.argv[2] ?? '{}');
const {id, service, zone, version, model, store} = options;
const {slots, adapterSlots, loadMs, modelLoadMs} = options;
const {events, eventMs, firstMs} = options;
const born = Date.now();
const adapters = new Map();
const loading = new Map();
let sequence = 0;
let beats = 0;
let running = 0;
let address = '';
/** Whether it holds its model; a server that is added begins empty. */
let holdsModel = options.empty !== true;
let loadsModel = false;

const say = (what) => {
  process.stdout.write(`${JSON.stringify({server: id, ...what})}\n`);
};

const isForThis = ({headers}) => {
  const expected = headers['x-basilworks-expect-instance'];
  return expected === undefined || expected === id;
};

/** Orders for the model itself: it is loaded once and never unloaded here. */
const modelOrder = (operation) => {
  if (operation !== 'load' || holdsModel) {
    return operation === 'load' ? 200 : 400;
  }
  if (loadsModel) {
    return 202;
  }
  loadsModel = true;
  sequence += 1;
  setTimeout(() => {
    loadsModel = false;
    holdsModel = true;
    // Orders for adapters cause no heartbeat, those for models do.
    if (beats > 0) {
      void writeEntry('PUT');
    }
  }, modelLoadMs);
  return 202;
};

const order = ({operation, adapter, version: wanted = 1, expect, ...rest}) => {
  if (rest.holder === undefined || rest.fence === undefined) {
    return 400;
  }
  if (rest.model !== model) {
    return 400;
  }
  if (expect !== undefined && expect !== sequence) {
    return 409;
  }
  if (adapter === undefined) {
    return modelOrder(operation);
  }
  if (!holdsModel) {
    return 409;
  }
  if (operation === 'unload') {
    sequence += adapters.delete(adapter) ? 1 : 0;
    return 200;
  }
  if ((adapters.get(adapter) ?? 0) >= wanted) {
    return 200;
  }
  if (loading.has(adapter)) {
    return 202;
  }
  if (loading.size >= 4) {
    return 409;
  }
  if (adapters.size + loading.size >= adapterSlots) {
    say({event: 'crashes', reason: 'over its adapter slots'});
    process.exit(1);
  }
  sequence += 1;
  loading.set(adapter, wanted);
  setTimeout(() => {
    loading.delete(adapter);
    adapters.set(adapter, wanted);
  }, loadMs);
  return 202;
};

const names = (known) => [...known].map(([name, at]) => `${name}@${at}`);

const models = () =>
  holdsModel ? [{name: model, version: 1, adapters: names(adapters)}] : [];

const report = () => ({
  stage: 'hybrid',
  models: models(),
  busy: loadsModel,
  sequence,
  queueDepth: 0,
  running,
  kvUsed: 0,
  kvTotal: 100_000,
  handles: 0,
  coming: names(loading).map((name) => `${model}/${name}`),
});

const stream = (message, response, requestId) => {
  let next = Number(message.headers['last-event-id'] ?? 0) + 1;
  running += 1;
  say({event: 'runs', requestId, from: next, at: Date.now()});
  if (options.unframed === true) {
    // Neither a length nor chunks: the answer ends with its connection.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.setHeader('Content-Type', 'text/event-stream');
  response.setHeader('X-Basilworks-Server-Signature', `${id}.${requestId}`);
  response.setHeader('X-Basilworks-Weight-Versions', '1');
  const write = () => {
    if (next > events) {
      response.end();
      return;
    }
    response.write(`id: ${next}\ndata: ${version} ${id}\n\n`);
    next += 1;
  };
  let timer;
  const first = setTimeout(() => {
    write();
    timer = setInterval(write, eventMs);
  }, firstMs);
  response.on('close', () => {
    running -= 1;
    clearInterval(first);
    clearInterval(timer);
    say({event: 'ends', requestId, next, whole: response.writableFinished});
  });
};

const serve = (message, response) => {
  const requestId = message.headers['x-basilworks-request-id'];
  if (requestId === undefined) {
    response.writeHead(400, {'X-Basilworks-Not-Executed': '1'}).end();
    return;
  }
  const refuse = (status) => {
    response.setHeader('X-Basilworks-Not-Executed', '1');
    response.writeHead(status).end();
  };
  response.setHeader('X-Basilworks-Request-Id', requestId);
  response.setHeader('X-Basilworks-Instance-Id', id);
  response.setHeader('X-Basilworks-Server-Load', `${running},0,${slots}`);
  const [base, adapter] = (
    message.headers['x-basilworks-model'] ?? model
  ).split('/');
  const held = adapter === undefined ? 1 : adapters.get(adapter);
  const wanted = message.headers['x-basilworks-expect-version'];
  if (
    !isForThis(message) ||
    base !== model ||
    !holdsModel ||
    held === undefined ||
    (wanted !== undefined && Number(wanted) !== held)
  ) {
    refuse(421);
  } else if (running >= slots) {
    refuse(503);
  } else {
    stream(message, response, requestId);
  }
};

const server = createServer(async (message, response) => {
  let body = '';
  try {
    for await (const chunk of message) {
      body += String(chunk);
    }
  } catch {
    return;
  }
  const sendJson = (status, value) => {
    response.writeHead(status, {'Content-Type': 'application/json'});
    response.end(JSON.stringify(value));
  };
  if (message.url === '/v1/report') {
    sendJson(200, report());
  } else if (message.url === '/v1/order') {
    if (!isForThis(message)) {
      sendJson(421, {});
      return;
    }
    const asked = JSON.parse(body);
    const status = order(asked);
    say({event: 'order', at: Date.now(), status, ...asked});
    sendJson(status, {});
  } else if (message.url === '/healthz') {
    response.writeHead(200, {'X-Basilworks-Instance-Id': id}).end();
  } else {
    serve(message, response);
  }
});
server.keepAliveTimeout = 15_000;

const writeEntry = (method) =>
  new Promise((resolve) => {
    beats += 1;
    const spec = {
      service,
      address,
      zone,
      version,
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      sequence: beats,
      born,
      models: models(),
    };
    const [host, port] = store.split(':');
    const path = '/v1/objects/servers';
    const call = startRequest(
      {host, port, method, path: method === 'POST' ? path : `${path}/${id}`},
      (answer) => {
        answer.resume();
        answer.on('end', () => resolve(answer.statusCode));
      },
    );
    call.on('error', () => resolve(0));
    call.end(JSON.stringify({metadata: {name: id}, spec}));
  });

server.listen(options.port ?? 0, '127.0.0.1', () => {
  address = `127.0.0.1:${server.address().port}`;
  say({event: 'listens', address});
});

createInterface({input: process.stdin}).on('line', async (line) => {
  if (line === 'register') {
    const status = await writeEntry('POST');
    say({event: 'registered', status, at: Date.now()});
    setInterval(() => void writeEntry('PUT'), 1_200);
  }
});
process.stdin.on('end', () => process.exit(0));
