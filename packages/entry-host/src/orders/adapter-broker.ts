import {
  adapterCapacity,
  AdapterPlaces,
  type ClaimState,
  LoadTimes,
  type PrepareAnswer,
  type PrepareRequest,
  type Release,
  type RouteTable,
  type Server,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {AdapterPreparer} from '../peers/index.js';
import type {PeerConnection} from '../peers/index.js';
import type {ServerCaller} from '../upstream/index.js';
import type {ClaimKeeper} from './claim-keeper.js';
import {OrderIssuer} from './order-issuer.js';

/** Between two looks at which servers this host issues orders to, ms. */
const REVIEW_PERIOD_MS = 200;

/** Finds the issuer of a server's orders: this host, or a peer. */
export class AdapterBroker implements AdapterPreparer {
  private readonly issuers = new Map<string, OrderIssuer>();
  private readonly claimStates = new Map<string, ClaimState>();
  private readonly loadTimes = new LoadTimes();

  constructor(
    private readonly context: EntryHostContext,
    private readonly claims: ClaimKeeper,
    private readonly caller: ServerCaller,
    private readonly routes: () => RouteTable | undefined,
    private readonly linkTo: (host: string) => PeerConnection | undefined,
  ) {}

  start(): void {
    const {timers, signal} = this.context;
    timers.every(
      'orders/review',
      REVIEW_PERIOD_MS,
      () => {
        this.review();
      },
      {signal},
    );
  }

  /** Matches issuers to servers and claims. */
  review(): void {
    const {servers} = this.context;
    for (const [key, issuer] of this.issuers) {
      if (servers.get(key) === undefined) {
        issuer.close();
        this.issuers.delete(key);
        this.claimStates.delete(key);
      }
    }
    for (const server of servers.all()) {
      const engine = this.routes()?.service(server.entry.service)?.engine;
      if (engine === undefined || server.entry.leaving) {
        continue;
      }
      const claim = this.claims.stateOf(server.entry.id);
      if (claim === 'none' && !this.issuers.has(server.key)) {
        continue;
      }
      const issuer = this.issuerOf(server);
      issuer.post({
        type: 'models-wanted',
        models: engine.models.map(({name}) => name),
        capacity: adapterCapacity(engine),
      });
      if (this.claimStates.get(server.key) !== claim) {
        this.claimStates.set(server.key, claim);
        this.context.logger.info('issuing orders', {
          server: server.entry.id,
          issuing: claim === 'issuing',
          claim,
        });
        issuer.post({type: 'claim-changed', claim});
      }
    }
  }

  /** Whether some host is able to make adapters resident on a server. */
  hasIssuer(server: Server): boolean {
    const {membership, settings} = this.context;
    const holder = this.claims.holder(server.entry.id);
    return (
      holder === settings.host ||
      (holder !== undefined &&
        membership.isLive(holder) &&
        this.linkTo(holder)?.doubtful === false)
    );
  }

  /** Asks the issuer of a server, wherever it is. */
  request(
    server: Server,
    request: PrepareRequest,
    signal: AbortSignal,
    late: (answer: PrepareAnswer) => void,
  ): Promise<PrepareAnswer> {
    const {settings} = this.context;
    const holder = this.claims.holder(server.entry.id);
    if (holder === settings.host) {
      return this.prepare(server.key, request, signal);
    }
    const link = holder === undefined ? undefined : this.linkTo(holder);
    return link === undefined
      ? Promise.resolve(NOT_ISSUER)
      : link.prepare(settings.host, server.key, request, signal, late);
  }

  /** Tells the issuers that this host is done with some adapters. */
  release(releases: readonly Release[]): void {
    const {settings, servers} = this.context;
    const byHost = new Map<string, Release[]>();
    for (const release of releases) {
      const server = servers.get(release.server);
      const holder =
        server === undefined ? undefined : this.claims.holder(server.entry.id);
      if (holder !== undefined) {
        const list = byHost.get(holder) ?? [];
        list.push(release);
        byHost.set(holder, list);
      }
    }
    for (const [holder, list] of byHost) {
      if (holder === settings.host) {
        this.released(settings.host, list);
      } else {
        this.linkTo(holder)?.release(settings.host, list);
      }
    }
  }

  /** A host is done with some adapters. */
  released(host: string, releases: readonly Release[]): void {
    for (const {server, name} of releases) {
      this.issuers.get(server)?.release(host, name);
    }
  }

  /** Answers a host that takes this one for the issuer. */
  prepare(
    serverRun: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    const issuer = this.issuers.get(serverRun);
    return issuer === undefined
      ? Promise.resolve(NOT_ISSUER)
      : issuer.prepare(request, signal);
  }

  private issuerOf(server: Server): OrderIssuer {
    const known = this.issuers.get(server.key);
    if (known !== undefined) {
      return known;
    }
    const issuer = new OrderIssuer(
      this.context,
      this.claims,
      this.caller,
      server,
      new AdapterPlaces(this.loadTimes),
    );
    this.issuers.set(server.key, issuer);
    return issuer;
  }
}

const NOT_ISSUER: PrepareAnswer = {
  outcome: 'refused',
  reason: 'not-issuer',
  retryAfterMs: 500,
};
