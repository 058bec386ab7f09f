// A stand-in for the platform's store: objects by kind and name, one revision
// counter, conditional writes, lists, and watches (PROTOCOL.md).
import {createServer} from 'node:http';
import {setTimeout, clearTimeout} from 'node:timers';

const readText = async (request) => {
  let text = '';
  for await (const chunk of request) {
    text += chunk;
  }
  return text;
};

export class Store {
  revision = 100;
  era = 1;
  /** While set, calls of hosts are answered 503 (nothing was done). */
  away = false;
  objects = new Map();
  changes = [];
  waiting = new Set();
  constructor(log = () => undefined) {
    this.log = log;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  async listen(host) {
    await new Promise((resolve) => this.server.listen(0, host, resolve));
    const {port} = this.server.address();
    return `${host}:${port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes on behalf of the operator or a server; returns the revision. */
  put(kind, name, spec) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    if (
      known !== undefined &&
      JSON.stringify(known.spec) === JSON.stringify(spec)
    ) {
      return known.metadata.revision;
    }
    this.revision += 1;
    const metadata = {
      name,
      revision: this.revision,
      created: known?.metadata.created ?? Date.now(),
      finalizers: [],
      deleting: false,
    };
    const object = {metadata, spec, status: known?.status ?? null};
    this.objects.set(key, object);
    this.changed(kind, object, false);
    return this.revision;
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    if (known !== undefined) {
      this.objects.delete(key);
      this.revision += 1;
      this.changed(kind, known, true);
    }
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  /** A copy of all that is stored now. */
  copy() {
    const {revision, objects, changes} = this;
    return {revision, objects: new Map(objects), changes: [...changes]};
  }

  /** Comes back from a copy: later revisions are given out again. */
  restore({revision, objects, changes}) {
    this.revision = revision;
    this.objects = new Map(objects);
    this.changes = [...changes];
    this.era += 1;
    this.wake();
  }

  /** Ends all connections, as when the store goes away. */
  cutConnections() {
    this.wake();
    this.server.closeAllConnections();
  }

  changed(kind, object, deleted) {
    const {revision} = this;
    this.changes.push({kind, revision, event: {object, deleted}});
    this.wake();
  }

  wake() {
    for (const check of [...this.waiting]) {
      check();
    }
  }

  async handle(request, response) {
    let text;
    try {
      text = await readText(request);
    } catch {
      return;
    }
    const url = new URL(request.url, 'http://store');
    const [, , , kind = '', name, part] = url.pathname.split('/');
    const [status, body] = this.away
      ? [503, {}]
      : request.method === 'GET'
        ? await this.read(kind, name, url.searchParams)
        : this.write(request, kind, name, part, text, url.searchParams);
    if (!response.destroyed) {
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Store-Era': String(this.era),
      });
      response.end(JSON.stringify(body));
    }
  }

  async read(kind, name, query) {
    if (name !== undefined) {
      const object = this.get(kind, name);
      return object === undefined ? [404, {}] : [200, object];
    }
    if (!query.has('watch')) {
      const items = [...this.objects]
        .filter(([key]) => key.startsWith(`${kind}/`))
        .map(([, object]) => object);
      return [200, {items, hasMore: false, at: this.revision}];
    }
    const from = Number(query.get('watch'));
    const {era} = this;
    const gone = () => from > this.revision || this.era !== era || this.away;
    const news = () =>
      this.changes.filter(
        (change) => change.kind === kind && change.revision > from,
      );
    if (!gone() && news().length === 0) {
      await new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer);
          this.waiting.delete(check);
          resolve();
        };
        const check = () => {
          if (gone() || news().length > 0) {
            end();
          }
        };
        const timer = setTimeout(end, Number(query.get('waitMs') ?? 0));
        this.waiting.add(check);
      });
    }
    if (this.away) {
      return [503, {}];
    }
    return gone()
      ? [410, {}]
      : [200, {events: news().map(({event}) => event), at: this.revision}];
  }

  write({method}, kind, name, part, text, query) {
    const body = text === '' ? {} : JSON.parse(text);
    const target = name ?? body.metadata?.name ?? '';
    const known = this.get(kind, target);
    const expected = body.metadata?.revision ?? query.get('revision');
    if (method === 'POST') {
      if (known !== undefined) {
        return [409, known];
      }
    } else if (known === undefined) {
      return [404, {}];
    } else if (
      expected !== undefined &&
      expected !== null &&
      Number(expected) !== known.metadata.revision
    ) {
      return [409, known];
    }
    if (method === 'DELETE') {
      this.remove(kind, target);
    } else if (part !== 'status') {
      this.put(kind, target, body.spec);
    }
    this.log(`store ${method} ${kind}/${target} at ${this.revision}`);
    return [200, this.get(kind, target) ?? {}];
  }
}
