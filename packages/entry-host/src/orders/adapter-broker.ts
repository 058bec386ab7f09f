import {
  adapterCapacity,
  type AdapterRelease,
  AdapterSlots,
  type ClaimState,
  type IssuerUpdate,
  LoadTimes,
  type PrefillLimit,
  PrefillPace,
  type PrepareAnswer,
  type PrepareRequest,
  ReportedRequests,
  type RouteTable,
  type Server,
  type ServiceLoad,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {AdapterPreparer} from '../peers/index.js';
import type {PeerConnection} from '../peers/index.js';
import type {SendPermits} from '../permits/index.js';
import type {ServerCaller} from '../upstream/index.js';
import type {ClaimManager} from './claim-manager.js';
import {OrderIssuer} from './order-issuer.js';

/** Interval between reviews of the servers that this host issues orders to. */
const REVIEW_PERIOD_MS = 400;

/** Passes requests for adapters to the issuer of a server: itself or a peer. */
export class AdapterBroker implements AdapterPreparer {
  private readonly issuers = new Map<string, OrderIssuer>();
  private readonly claimStates = new Map<string, ClaimState>();
  private readonly loadTimes = new LoadTimes();
  private readonly ownRequests = new ReportedRequests();
  private readonly paces = new Map<string, PrefillPace>();

  constructor(
    private readonly context: EntryHostContext,
    private readonly claims: ClaimManager,
    private readonly caller: ServerCaller,
    private readonly permits: SendPermits,
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

  /** Creates, updates and closes issuers to match the servers and claims. */
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
        this.context.logger.info('claim state changed', {
          server: server.entry.id,
          issuing: claim === 'issuing',
          claim,
        });
        issuer.post({type: 'claim-changed', claim});
      }
    }
  }

  /** Whether a reachable host issues the orders of a server. */
  hasIssuer(server: Server): boolean {
    const {membership, settings} = this.context;
    const holder = this.claims.holder(server.entry.id);
    return (
      holder === settings.host ||
      (holder !== undefined &&
        membership.isLive(holder) &&
        this.linkTo(holder)?.isUnresponsive === false)
    );
  }

  /** Requests an adapter from the issuer of a server, local or remote. */
  async request(
    server: Server,
    request: PrepareRequest,
    signal: AbortSignal,
    late: (answer: PrepareAnswer) => void,
  ): Promise<PrepareAnswer> {
    const answer = await this.requestFromIssuer(server, request, signal, late);
    const granted = answer.outcome === 'resident' ? 1 : 0;
    this.ownRequests.record(server.key, request.inFlight + granted);
    if (answer.requests !== undefined) {
      const {requests, slowness, prefillLimit} = answer;
      this.applyPrefillLimit(server, prefillLimit);
      server.health.applyIssuerReport(
        requests,
        this.context.clock.now(),
        slowness,
      );
    }
    return answer;
  }

  private applyPrefillLimit(
    {entry, health}: Server,
    limit: PrefillLimit | undefined,
  ): void {
    const at = this.context.clock.now();
    health.recordPromptLimit(limit !== undefined, at);
    if (limit !== undefined) {
      this.paceOf(entry.service).adopt(limit, at);
    }
  }

  private requestFromIssuer(
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

  /**
   * Reports to the issuers which adapters this host has released, the servers
   * at which its number of requests has changed, and what it observed there.
   */
  release(releases: readonly AdapterRelease[]): void {
    const {servers} = this.context;
    const requests = this.ownRequests.changes(
      servers.all().map(({key, health}) => ({
        server: key,
        requests: health.inFlight,
      })),
    );
    const {promptReports} = this.context;
    this.sendUpdate({releases, requests, ...promptReports.take()});
  }

  /** Reports prefilled prompts, for which others may wait, to the issuers. */
  reportPrompts(): void {
    const {promptReports} = this.context;
    this.sendUpdate({releases: [], requests: [], ...promptReports.take()});
  }

  /** Applies the update of a host for servers whose orders this host issues. */
  applyUpdate(host: string, update: IssuerUpdate): void {
    const {releases, requests, prefilled, gaps} = update;
    for (const {server, name} of releases) {
      this.issuers.get(server)?.release(host, name);
    }
    for (const {server, requests: count} of requests) {
      this.issuers.get(server)?.applyRequestCount(host, count);
    }
    for (const {server, ...gap} of gaps) {
      this.issuers.get(server)?.recordGap(host, gap);
    }
    for (const {server, requestId, prefillMs} of prefilled) {
      this.issuers.get(server)?.recordPrefilled(requestId, prefillMs);
    }
  }

  /** Splits an update by issuer and sends each its part. */
  private sendUpdate(update: IssuerUpdate): void {
    const {settings} = this.context;
    const all = [
      ...update.releases,
      ...update.requests,
      ...update.prefilled,
      ...update.gaps,
    ];
    const holders = new Set(all.map(({server}) => this.holderOf(server)));
    for (const holder of holders) {
      const isForHolder = ({server}: {readonly server: string}) =>
        this.holderOf(server) === holder;
      const holderUpdate = {
        releases: update.releases.filter(isForHolder),
        requests: update.requests.filter(isForHolder),
        prefilled: update.prefilled.filter(isForHolder),
        gaps: update.gaps.filter(isForHolder),
      };
      if (holder === settings.host) {
        this.applyUpdate(settings.host, holderUpdate);
      } else if (holder !== undefined) {
        this.linkTo(holder)?.release(settings.host, holderUpdate);
      }
    }
  }

  /** Load of the servers whose orders this host issues, summed by service. */
  issuedLoads(): readonly ServiceLoad[] {
    const loads = new Map<string, ServiceLoad>();
    for (const [key, issuer] of this.issuers) {
      const {service} = this.context.servers.get(key)?.entry ?? {};
      if (service !== undefined && this.claimStates.get(key) === 'issuing') {
        const known = loads.get(service);
        loads.set(service, {
          service,
          requests: (known?.requests ?? 0) + issuer.requests(),
          slots: (known?.slots ?? 0) + Math.ceil(issuer.effectiveSlots()),
        });
      }
    }
    return [...loads.values()];
  }

  private holderOf(serverKey: string): string | undefined {
    const server = this.context.servers.get(serverKey);
    return server === undefined
      ? undefined
      : this.claims.holder(server.entry.id);
  }

  /** Answers a host that considers this one the issuer. */
  prepare(
    serverInstance: string,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    const issuer = this.issuers.get(serverInstance);
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
      this.permits,
      server,
      new AdapterSlots(this.loadTimes),
      this.paceOf(server.entry.service),
    );
    this.issuers.set(server.key, issuer);
    return issuer;
  }

  /** The prefill limit of a service, learned from all its servers. */
  private paceOf(service: string): PrefillPace {
    const known = this.paces.get(service) ?? new PrefillPace();
    this.paces.set(service, known);
    return known;
  }
}

const NOT_ISSUER: PrepareAnswer = {
  outcome: 'refused',
  reason: 'not-issuer',
  retryAfterMs: 500,
};
