import {
  AdapterSpreads,
  type AdapterVersions,
  type AffinityRanking,
  admit,
  type ChoiceContext,
  choosePlainServer,
  FIRST_VERSION,
  nextCandidate,
  parseModelReference,
  type PrepareAnswer,
  type PrepareRefusal,
  type PrepareRequest,
  rankByAffinity,
  RendezvousCache,
  type ResidencyCache,
  type Route,
  type Server,
  type Service,
  ServiceEstimates,
  reportsSlowness,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import type {AdapterBroker} from '../orders/index.js';
import type {SendPermits} from '../permits/index.js';
import {headerValue} from '../upstream/index.js';
import type {CallerRequest} from './caller-request.js';
import {groundsOf, promptTokensOf} from './send-estimate.js';

/** Where to send a request next. */
export type Selection =
  | {
      readonly type: 'server';
      readonly server: Server;
      /** Version that the server has to have; undefined for any. */
      readonly version: number | undefined;
      readonly reason: string;
      /** It may be sent there although the server names a limit. */
      readonly permitted: boolean;
    }
  | {
      readonly type: 'none';
      readonly reason: string;
      /** When there should be room, milliseconds. */
      readonly retryAfterMs: number;
    };

/** Where a request stands when a server is chosen. */
export interface SelectionRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: Service;
  /** Milliseconds left of its time. */
  readonly remainingMs: number;
  /** Milliseconds left until its answer would be late. */
  readonly untilLateMs: number;
  /** Keys of servers that were tried. */
  readonly tried: ReadonlySet<string>;
  /** It has not been sent to any server yet. */
  readonly firstSend: boolean;
  readonly signal: AbortSignal;
}

/**
 * Silence with requests waiting after which a server counts as dark, ms: an
 * engine makes an event every few tens of milliseconds once it runs anything,
 * and a plain answer takes about as long.
 */
const SILENCE_LIMIT_MS = 800;

/** Servers that are asked for an adapter, one after the other. */
const MAXIMUM_PREPARES = 4;

/** Share of the time to a late answer that a first choice may take. */
const PREPARE_SHARE = 0.75;

/** Share of all the remaining time that the last choice may take. */
const LAST_PREPARE_SHARE = 0.5;

/** Shortest wait that a load is given, milliseconds. */
const SHORTEST_PREPARE_MS = 300;

/**
 * Time from a resident adapter to the first piece of an answer, milliseconds: a
 * prompt of the usual size and the steps of a batch around it.
 */
const FIRST_PIECE_MS = 100;

/** Wait that is told when there is no server at all, milliseconds. */
const NO_SERVER_RETRY_MS = 1_000;

/** Chooses servers for requests. */
export class ServerSelector {
  private readonly spreads = new AdapterSpreads();
  private readonly rankings = new RendezvousCache();

  constructor(
    private readonly context: EntryHostContext,
    private readonly broker: AdapterBroker,
    private readonly permits: Pick<SendPermits, 'acquire' | 'denial'>,
    private readonly residency: ResidencyCache,
    private readonly versions: AdapterVersions,
    /** Called when there is something to tell issuers soon. */
    private readonly hasNews: () => void,
  ) {}

  /**
   * Chooses a server; for an adapter, waits until it is resident there. Servers
   * that are at their limits are passed over.
   */
  async select(selection: SelectionRequest): Promise<Selection> {
    const {request, route, service, signal} = selection;
    const {logger} = this.context;
    const passedOver = new Set(selection.tried);
    const hasLeft = () => signal.aborted;
    let heldBackMs = this.passOverDenied(service, passedOver);
    for (;;) {
      const chosen = await this.choose({...selection, tried: passedOver});
      if (chosen.type === 'none') {
        return heldBackMs === undefined
          ? chosen
          : none(`${chosen.reason}, others are at their limits`, heldBackMs);
      }
      if (hasLeft()) {
        // Its caller left: a permit would be lost to all others.
        return none('its caller left', 0);
      }
      const {server} = chosen;
      // A limit that is named from here on was not asked for.
      const limited = server.notices.requestsPerSecond !== undefined;
      const permit = await this.permits.acquire(server, route.priority);
      if (permit.granted || hasLeft()) {
        return {...chosen, permitted: limited && permit.granted};
      }
      const {retryAfterMs} = permit;
      logger.info('server passed over', {
        requestId: request.id,
        server: server.entry.id,
        requestsPerSecond: server.notices.requestsPerSecond,
        retryAfterMs: Math.round(retryAfterMs),
      });
      heldBackMs = Math.min(heldBackMs ?? Infinity, retryAfterMs);
      passedOver.add(server.key);
    }
  }

  /**
   * Adds the servers that denied a permit just before; returns when the first
   * of them takes requests again, milliseconds.
   */
  private passOverDenied(
    {name}: Service,
    passedOver: Set<string>,
  ): number | undefined {
    const {servers, clock} = this.context;
    const waits = servers.open(name, clock.now()).flatMap((server) => {
      const denial = this.permits.denial(server);
      if (denial === undefined) {
        return [];
      }
      passedOver.add(server.key);
      return [denial.retryAfterMs];
    });
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** Chooses a server regardless of limits. */
  private async choose(selection: SelectionRequest): Promise<Selection> {
    const {request, route, service, remainingMs} = selection;
    const {servers, clock} = this.context;
    const at = clock.now();
    const open = servers.open(service.name, at);
    if (open.length === 0) {
      const pauseMs = servers.shortestPauseMs(service.name, at);
      return none('no server is open', pauseMs ?? NO_SERVER_RETRY_MS);
    }
    const {priority, eventGapMs} = route;
    const promptTokens = reportsSlowness(open, at)
      ? promptTokensOf(this.context, request)
      : undefined;
    const admission = admit(
      open,
      {remainingMs, priority, promptTokens, eventGapMs},
      undefined,
      at,
    );
    if (!admission.admitted) {
      const {best, retryAfterMs} = admission;
      return none(
        best === undefined
          ? 'all servers are full'
          : `no server could answer in time: ${JSON.stringify(groundsOf(best))}`,
        retryAfterMs,
      );
    }
    const choice = this.choiceContext(selection.tried, service.name);
    if (service.engine === undefined || request.model === undefined) {
      const server = choosePlainServer(open, choice);
      return server === undefined
        ? none('no server is left to try', NO_SERVER_RETRY_MS)
        : found(
            server,
            undefined,
            reportsSlowness(open, at) ? 'best of two' : 'least loaded',
          );
    }
    const {model, adapter} = parseModelReference(request.model);
    const holders = open.filter(({entry}) => entry.models.includes(model));
    if (holders.length === 0) {
      return none('no server holds the model', NO_SERVER_RETRY_MS);
    }
    return adapter === undefined
      ? this.selectForModel(selection, holders, choice)
      : this.selectForAdapter(selection, {model, adapter}, holders, choice);
  }

  /** A request goes to a server. */
  begin(request: CallerRequest, server: Server): void {
    this.hasNews();
    const {model, adapter} = parseModelReference(request.model ?? '');
    if (adapter !== undefined) {
      this.residency.requestStarted({model, adapter}, server.key);
    }
  }

  /** A request at a server has ended. */
  ended(request: CallerRequest, server: Server): void {
    this.hasNews();
    const {model, adapter} = parseModelReference(request.model ?? '');
    if (adapter !== undefined) {
      this.residency.requestEnded({model, adapter}, server.key);
    }
  }

  /** The server said that it does not hold what it should. */
  refuted(request: CallerRequest, server: Server): void {
    const {model, adapter} = parseModelReference(request.model ?? '');
    if (adapter !== undefined) {
      this.residency.markAbsent({model, adapter}, server.key);
    }
  }

  private selectForModel(
    {request}: SelectionRequest,
    holders: readonly Server[],
    choice: ChoiceContext,
  ): Selection {
    const {forwarding} = this.context.platform;
    const parts = headerValue(
      request.rawHeaders,
      forwarding.headers.promptParts.toLowerCase(),
    );
    // Requests that share parts of their prompts meet on a server that keeps
    // those parts.
    const shared = forwarding.parseSharedParts(parts ?? '').join(',');
    const key = `${request.model ?? ''} ${shared}`;
    const [server] = rankByAffinity(
      key,
      holders,
      choice,
      this.rankings,
    ).byPreference;
    return server === undefined
      ? none('no server is left to try', NO_SERVER_RETRY_MS)
      : found(server, undefined, 'prompt parts');
  }

  private async selectForAdapter(
    selection: SelectionRequest,
    name: {model: string; adapter: string},
    holders: readonly Server[],
    choice: ChoiceContext,
  ): Promise<Selection> {
    let version = this.versions.get(name);
    const key = `${name.model}/${name.adapter}`;
    const ranking = rankByAffinity(key, holders, choice, this.rankings);
    const promised =
      this.promised(name, version, ranking.notSlowed) ??
      this.promised(name, version, ranking.notOverloaded);
    if (promised !== undefined) {
      return promised;
    }
    const able = ranking.byPreference.filter((server) =>
      this.broker.hasIssuer(server),
    );
    const refusals: Refusal[] = [];
    const asked = new Set<Server>();
    const {remainingMs, untilLateMs} = selection;
    const lastMs = remainingMs * LAST_PREPARE_SHARE;
    const firstMs = Math.max(SHORTEST_PREPARE_MS, untilLateMs * PREPARE_SHARE);
    for (let index = 0; index < MAXIMUM_PREPARES; index += 1) {
      const last = index === MAXIMUM_PREPARES - 1 || asked.size >= able.length;
      const among = this.spreads.get(name, this.context.clock.now());
      const server = last
        ? shortestWait(refusals)
        : nextCandidate(
            spreadOver(ranking, able, among),
            able,
            asked,
            this.context.random,
          );
      if (server === undefined || selection.signal.aborted) {
        break;
      }
      asked.add(server);
      const waitMs = last ? lastMs : Math.min(firstMs, lastMs);
      const prepare = {
        ...this.prepareRequest(selection, name, version, server, waitMs),
        takesCrowded: last,
        among,
      };
      const answer = await this.ask(server, prepare, selection.signal);
      if (answer.outcome === 'resident') {
        if (!this.context.servers.isOpen(server, this.context.clock.now())) {
          // It was told to leave while the load was waited for.
          refusals.push({server, reason: 'server-gone', retryAfterMs: 0});
          continue;
        }
        const newest = this.versions.get(name);
        if (newest > answer.version) {
          // A newer one was announced while the load was waited for.
          version = newest;
          refusals.push({server, reason: 'older-version', retryAfterMs: 0});
          continue;
        }
        return found(server, answer.version, last ? 'last choice' : 'prepared');
      }
      refusals.push({server, ...answer});
      if (last) {
        break;
      }
    }
    const at = this.context.clock.now();
    const open = ranking.byAffinity.filter((server) =>
      this.context.servers.isOpen(server, at),
    );
    return this.withoutIssuer(selection, name, version, open, refusals);
  }

  /** The first server where the adapter was promised to stay. */
  private promised(
    name: {model: string; adapter: string},
    version: number,
    servers: readonly Server[],
  ): Selection | undefined {
    const at = this.context.clock.now();
    for (const server of servers) {
      const promise = this.residency.validLease(name, server.key, version, at);
      if (promise !== undefined) {
        promise.uses += 1;
        return found(server, promise.version, 'promised');
      }
    }
    return undefined;
  }

  /** Asks the issuer of a server, and keeps what it promises. */
  private async ask(
    server: Server,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    const {clock, metrics} = this.context;
    const askedAt = clock.now();
    const answer = await this.broker.request(
      server,
      request,
      signal,
      (late) => {
        if (late.outcome === 'resident') {
          // Nobody waits for it any more: released at the next sweep.
          const {key} = server;
          this.residency.recordLease(
            request,
            key,
            late.version,
            0,
            clock.now(),
          );
          this.hasNews();
        }
      },
    );
    metrics.prepares.inc({
      outcome: answer.outcome === 'resident' ? 'resident' : answer.reason,
    });
    if (answer.spread !== undefined) {
      this.spreads.update(request, answer.spread, clock.now());
    }
    if (answer.outcome === 'resident') {
      const {version, validMs} = answer;
      this.residency.recordLease(
        request,
        server.key,
        version,
        validMs,
        askedAt,
      );
      this.hasNews();
    }
    return answer;
  }

  /** Chooses by what was last known, as no issuer makes the adapter resident. */
  private withoutIssuer(
    {firstSend}: SelectionRequest,
    name: {model: string; adapter: string},
    version: number,
    ranked: readonly Server[],
    refusals: readonly Refusal[],
  ): Selection {
    const believed = ranked.find((server) =>
      this.residency.lastKnownResident(name, server.key, version),
    );
    if (believed !== undefined) {
      return found(believed, version, 'believed');
    }
    const [first] = ranked;
    const unheard = refusals.every(({reason}) => UNHEARD.has(reason));
    if (first !== undefined && unheard && firstSend) {
      // A host that is cut off from the issuers: the adapter may well be where
      // all hosts look for it first, and a server that lacks it says so.
      return found(first, version, 'first by affinity');
    }
    const reasons = refusals.map(
      ({server, reason}) => `${server.entry.id} ${reason}`,
    );
    return none(
      `adapter not resident: ${reasons.join(', ')}`,
      Math.max(0, ...refusals.map(({retryAfterMs}) => retryAfterMs)),
    );
  }

  private prepareRequest(
    {request, route, untilLateMs}: SelectionRequest,
    name: {model: string; adapter: string},
    version: number,
    server: Server,
    maximumWaitMs: number,
  ): PrepareRequest {
    return {
      ...name,
      host: this.context.settings.host,
      requestId: `${request.id}/${(this.serial += 1)}`,
      version,
      maximumWaitMs,
      onTimeWithinMs: Math.max(0, untilLateMs - FIRST_PIECE_MS),
      priority: route.priority,
      uses: this.residency.takeUses(name, server.key),
      slowness: this.lastingSlowness(server),
      inFlight: server.health.inFlight,
      takesCrowded: false,
      among: 1,
    };
  }

  private serial = 0;

  /** What this host tells issuers; undefined where it has not heard lately. */
  private lastingSlowness(server: Server): number | undefined {
    const {servers, clock} = this.context;
    const at = clock.now();
    return server.health.speed.isKnown(at)
      ? new ServiceEstimates(servers.open(server.entry.service, at), at).of(
          server,
        ).lastingSlowness
      : undefined;
  }

  private choiceContext(
    tried: ReadonlySet<string>,
    service: string,
  ): ChoiceContext {
    const {clock, settings, random, fleetLoad, outliers} = this.context;
    const at = clock.now();
    return {
      at,
      avoids: (server) => outliers.avoids(server, at, random),
      fleetOccupancy: fleetLoad.occupancy(service, at),
      zone: settings.zone,
      tried,
      silenceLimitMs: SILENCE_LIMIT_MS,
      random,
    };
  }
}

/** An issuer's refusal to make an adapter resident. */
interface Refusal {
  readonly server: Server;
  readonly reason: PrepareRefusal | 'older-version';
  readonly retryAfterMs: number;
}

/** The servers that share an adapter's requests and are worth asking. */
const spreadOver = (
  {byAffinity, notOverloaded, notSlowed}: AffinityRanking,
  able: readonly Server[],
  servers: number,
): readonly Server[] => {
  const sharing = byAffinity
    .slice(0, servers)
    .filter(
      (server) => notOverloaded.includes(server) && able.includes(server),
    );
  const fast = sharing.filter((server) => notSlowed.includes(server));
  return fast.length > 0 ? fast : sharing;
};

/** Refusals that tell nothing of the server itself. */
const UNHEARD: ReadonlySet<Refusal['reason']> = new Set([
  'not-issuer',
  'unreachable',
]);

/** Refusals after which the server may be taken all the same. */
const WAITABLE: ReadonlySet<Refusal['reason']> = new Set([
  'too-long',
  'no-place',
  'crowded',
  'held-back',
]);

/** The server at which the request would run first. */
const shortestWait = (refusals: readonly Refusal[]): Server | undefined =>
  refusals
    .filter(({reason}) => WAITABLE.has(reason))
    .reduce<Refusal | undefined>(
      (best, refusal) =>
        best === undefined || refusal.retryAfterMs < best.retryAfterMs
          ? refusal
          : best,
      undefined,
    )?.server;

const found = (
  server: Server,
  version: number | undefined,
  reason: string,
): Selection => ({
  type: 'server',
  server,
  version: (version ?? 0) > FIRST_VERSION ? version : undefined,
  reason,
  permitted: false,
});

const none = (reason: string, retryAfterMs: number): Selection => ({
  type: 'none',
  reason,
  retryAfterMs,
});
