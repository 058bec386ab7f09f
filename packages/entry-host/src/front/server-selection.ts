import {
  AdapterSpreads,
  type AdapterVersions,
  admit,
  type AffinityRanking,
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
  reportsSlowness,
  type ResidencyCache,
  type Route,
  type Server,
  type Service,
  ServiceEstimates,
} from '@basilworks/dispatch';

import type {EntryHostContext} from '../context.js';
import {sharedPromptParts} from '../crashes/index.js';
import type {AdapterBroker} from '../orders/index.js';
import type {SendPermits} from '../permits/index.js';
import {
  createSelectionGates,
  NO_VIEW_SOURCES,
  type SelectionGates,
} from '../store/index.js';
import type {CallerRequest} from './caller-request.js';
import {estimateLogFields, readPromptTokens} from './send-estimate.js';
import {VersionGuard} from './version-guard.js';

/** The server to send a request to next, or why there is none. */
export type Selection =
  | {
      readonly type: 'server';
      readonly server: Server;
      /** Adapter version that the server must have; undefined for any. */
      readonly version: number | undefined;
      readonly reason: string;
      /** Whether a permit was granted under the server's request rate limit. */
      readonly permitted: boolean;
      /**
       * Id under which its prompt was announced to the server's issuer;
       * undefined if the prompts there are not limited.
       */
      readonly announcedAs?: string | undefined;
      /** Time that the prompt waited until it could be sent, milliseconds. */
      readonly promptWaitMs?: number | undefined;
    }
  | {
      readonly type: 'none';
      readonly reason: string;
      /** Expected wait until a server has capacity, milliseconds. */
      readonly retryAfterMs: number;
    };

type FoundServer = Selection & {readonly type: 'server'};

/** A request for which a server is to be selected, and its progress. */
export interface SelectionRequest {
  readonly request: CallerRequest;
  readonly route: Route;
  readonly service: Service;
  /** Time left until the request times out, milliseconds. */
  readonly remainingMs: number;
  /**
   * Time left until the caller abandons the request unless it gets an event,
   * milliseconds.
   */
  readonly patienceMs: number;
  /** Time left of the route's latency target, milliseconds. */
  readonly latencyBudgetMs: number;
  /** Keys of servers to skip, as the request has been sent to them before. */
  readonly tried: ReadonlySet<string>;
  /** Whether the request may be sent to a server; to any if absent. */
  readonly allows?: ((server: Server) => boolean) | undefined;
  /** Whether the request has not been sent to any server yet. */
  readonly firstSend: boolean;
  readonly signal: AbortSignal;
}

/**
 * Time without any activity, while requests are waiting, after which a server
 * counts as unresponsive, milliseconds. A running engine emits an event every
 * few tens of milliseconds, and a plain answer takes about as long.
 */
const SILENCE_LIMIT_MS = 800;

/** Maximum number of servers that are asked in turn to load an adapter. */
const MAXIMUM_PREPARES = 4;

/**
 * Share of the remaining latency target that each attempt before the last may
 * wait for an adapter.
 */
const PREPARE_SHARE = 0.75;

/** Share of the caller's patience that the last attempt may wait. */
const LAST_PREPARE_SHARE = 0.5;

/**
 * Wait that an attempt before the last may take even if less of the latency
 * target remains, milliseconds. It never exceeds the wait of the last attempt.
 */
const MINIMUM_PREPARE_MS = 300;

/**
 * Time from a resident adapter to the first chunk of an answer, milliseconds:
 * prefill of a prompt of typical size, and the batch steps before and after it.
 */
const FIRST_CHUNK_MS = 100;

/** Retry delay reported when no server is available, milliseconds. */
const NO_SERVER_RETRY_MS = 1_000;

/** Selects servers for requests. */
export class ServerSelector {
  private readonly spreads = new AdapterSpreads();
  private readonly rankings = new RendezvousCache();
  /** Tracks requests that wait at servers. */
  readonly versionGuard: VersionGuard;

  constructor(
    private readonly context: EntryHostContext,
    private readonly broker: AdapterBroker,
    private readonly permits: Pick<SendPermits, 'acquire' | 'denial'>,
    private readonly residency: ResidencyCache,
    private readonly versions: AdapterVersions,
    /** Called when there are changes to report to issuers. */
    private readonly scheduleReport: () => void,
    private readonly gates: SelectionGates = createSelectionGates(
      context,
      NO_VIEW_SOURCES,
    ),
  ) {
    this.versionGuard = new VersionGuard(
      context,
      versions,
      gates.waitingVersions,
      (server, request) => this.requestLease(server, request, context.signal),
    );
  }

  /**
   * Selects a server. If the request names an adapter, waits until that is
   * resident there. Skips servers that are at their request rate limit.
   */
  async select(selection: SelectionRequest): Promise<Selection> {
    const {request, route, service, signal, allows} = selection;
    const {logger} = this.context;
    await this.confirmViews(request);
    let mayChooseAgain = true;
    const excluded = new Set(selection.tried);
    const callerLeft = () => signal.aborted;
    let shortestRetryMs = this.excludeDenied(service, excluded);
    for (;;) {
      if (allows !== undefined) {
        // Others may have joined while the request waited.
        this.excludeOthers(service, allows, excluded);
      }
      const chosen = await this.choose({...selection, tried: excluded});
      if (chosen.type === 'none') {
        return shortestRetryMs === undefined
          ? chosen
          : none(
              `${chosen.reason}, others are at their limits`,
              shortestRetryMs,
            );
      }
      if (callerLeft()) {
        this.withdrawPrompt(chosen);
        // A permit acquired after the caller left would be wasted.
        return none('its caller left', 0);
      }
      const {server} = chosen;
      // A permit covers only a limit that was known before it was acquired.
      const limited = server.notices.requestsPerSecond !== undefined;
      const permit = await this.permits.acquire(server, route.priority);
      if (permit.granted || callerLeft()) {
        await this.confirmViews(request);
        if (
          callerLeft() ||
          !mayChooseAgain ||
          this.isCurrent(request, chosen)
        ) {
          return {...chosen, permitted: limited && permit.granted};
        }
        // The server or the version was replaced while the request waited.
        mayChooseAgain = false;
        this.withdrawPrompt(chosen);
        continue;
      }
      this.withdrawPrompt(chosen);
      const {retryAfterMs} = permit;
      logger.info('server skipped at its request rate limit', {
        requestId: request.id,
        server: server.entry.id,
        requestsPerSecond: server.notices.requestsPerSecond,
        retryAfterMs: Math.round(retryAfterMs),
      });
      shortestRetryMs = Math.min(shortestRetryMs ?? Infinity, retryAfterMs);
      excluded.add(server.key);
    }
  }

  /**
   * Whether a selection may still be sent: its server accepts requests, and no
   * newer version of its adapter is known.
   */
  isCurrent(
    {model: reference = ''}: CallerRequest,
    {server, version}: Pick<FoundServer, 'server' | 'version'>,
  ): boolean {
    const {servers, clock} = this.context;
    const {model, adapter} = parseModelReference(reference);
    return (
      servers.isOpen(server, clock.now()) &&
      (adapter === undefined ||
        (version ?? FIRST_VERSION) >= this.versions.get({model, adapter}))
    );
  }

  /** Has the views confirmed by which a server is chosen, where possible. */
  private async confirmViews({model}: CallerRequest): Promise<void> {
    const {servers, adapterVersions} = this.gates;
    const gates = model === undefined ? [servers] : [servers, adapterVersions];
    const at = this.context.clock.now();
    if (!gates.every((gate) => gate.isConfirmed(at))) {
      const confirmed = await Promise.all(
        gates.map((gate) => gate.confirm(at)),
      );
      const outcome = confirmed.every(Boolean) ? 'confirmed' : 'unconfirmed';
      this.context.metrics.viewConfirmations.inc({outcome});
    }
  }

  /** Reports that an announced prompt will not be sent. */
  withdrawPrompt({
    server: {key: server},
    announcedAs: requestId,
  }: Pick<FoundServer, 'server' | 'announcedAs'>): void {
    if (requestId !== undefined) {
      const {promptReports} = this.context;
      promptReports.recordPrefilled({server, requestId, prefillMs: undefined});
    }
  }

  /** Adds the servers that a request may not be sent to to `excluded`. */
  private excludeOthers(
    {name}: Service,
    allows: (server: Server) => boolean,
    excluded: Set<string>,
  ): void {
    const {servers, clock} = this.context;
    for (const server of servers.open(name, clock.now())) {
      if (!allows(server)) {
        excluded.add(server.key);
      }
    }
  }

  /**
   * Adds the servers for which a permit was denied recently to `excluded`.
   * Returns the shortest time until one of them accepts requests again,
   * milliseconds; undefined if there are none.
   */
  private excludeDenied(
    {name}: Service,
    excluded: Set<string>,
  ): number | undefined {
    const {servers, clock} = this.context;
    const retryTimesMs = servers.open(name, clock.now()).flatMap((server) => {
      const denial = this.permits.denial(server);
      if (denial === undefined) {
        return [];
      }
      excluded.add(server.key);
      return [denial.retryAfterMs];
    });
    return retryTimesMs.length === 0 ? undefined : Math.min(...retryTimesMs);
  }

  /** Selects a server without regard to request rate limits. */
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
      ? readPromptTokens(this.context, request)
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
          : `no server could answer in time: ${JSON.stringify(estimateLogFields(best))}`,
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
    const modelServers = open.filter(({entry}) => entry.models.includes(model));
    if (modelServers.length === 0) {
      return none('no server holds the model', NO_SERVER_RETRY_MS);
    }
    return adapter === undefined
      ? this.selectForModel(selection, modelServers, choice)
      : this.selectForAdapter(
          selection,
          {model, adapter},
          modelServers,
          choice,
        );
  }

  /** Records that a request is being sent to a server. */
  requestStarted(request: CallerRequest, server: Server): void {
    this.scheduleReport();
    const {model, adapter} = parseModelReference(request.model ?? '');
    if (adapter !== undefined) {
      this.residency.requestStarted({model, adapter}, server.key);
    }
  }

  /** Records that a request at a server has ended. */
  requestEnded(request: CallerRequest, server: Server): void {
    this.scheduleReport();
    const {model, adapter} = parseModelReference(request.model ?? '');
    if (adapter !== undefined) {
      this.residency.requestEnded({model, adapter}, server.key);
    }
  }

  /** Records that the server reported the request's adapter as not resident. */
  markAdapterAbsent(request: CallerRequest, server: Server): void {
    const {model, adapter} = parseModelReference(request.model ?? '');
    if (adapter !== undefined) {
      this.residency.markAbsent({model, adapter}, server.key);
    }
  }

  private selectForModel(
    {request}: SelectionRequest,
    modelServers: readonly Server[],
    choice: ChoiceContext,
  ): Selection {
    // Requests with common prompt parts go to the same server, which has those
    // parts in its cache.
    const {platform} = this.context;
    const promptParts = sharedPromptParts(platform, request).join(',');
    const key = `${request.model ?? ''} ${promptParts}`;
    const [server] = rankByAffinity(
      key,
      modelServers,
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
    modelServers: readonly Server[],
    choice: ChoiceContext,
  ): Promise<Selection> {
    let version = this.versions.get(name);
    const key = `${name.model}/${name.adapter}`;
    const ranking = rankByAffinity(key, modelServers, choice, this.rankings);
    const promptTokens = this.limitedPromptTokens(selection);
    const {notSlowed, notOverloaded} = ranking;
    const leased =
      this.selectLeased(name, version, promptTokens, notSlowed) ??
      this.selectLeased(name, version, promptTokens, notOverloaded);
    if (leased !== undefined) {
      return leased;
    }
    const withIssuer = ranking.byPreference.filter((server) =>
      this.broker.hasIssuer(server),
    );
    const refusals: Refusal[] = [];
    const queried = new Set<Server>();
    const {patienceMs, latencyBudgetMs} = selection;
    const lastWaitMs = patienceMs * LAST_PREPARE_SHARE;
    const firstWaitMs = Math.max(
      MINIMUM_PREPARE_MS,
      latencyBudgetMs * PREPARE_SHARE,
    );
    for (let index = 0; index < MAXIMUM_PREPARES; index += 1) {
      const lastAttempt =
        index === MAXIMUM_PREPARES - 1 || queried.size >= withIssuer.length;
      const spread = this.spreads.get(name, this.context.clock.now());
      const server = lastAttempt
        ? shortestWait(refusals)
        : nextCandidate(
            spreadCandidates(ranking, withIssuer, spread),
            withIssuer,
            queried,
            this.context.random,
          );
      if (server === undefined || selection.signal.aborted) {
        break;
      }
      queried.add(server);
      const waitMs = lastAttempt
        ? lastWaitMs
        : Math.min(firstWaitMs, lastWaitMs);
      const prepare = {
        ...this.prepareRequest(selection, name, version, server, waitMs),
        promptTokens,
        takesCrowded: lastAttempt,
        among: spread,
      };
      const answer = await this.requestLease(server, prepare, selection.signal);
      if (answer.outcome === 'resident') {
        const announcedAs =
          answer.prefillLimit !== undefined && promptTokens > 0
            ? prepare.requestId
            : undefined;
        if (!this.context.servers.isOpen(server, this.context.clock.now())) {
          // The server stopped accepting requests while the adapter loaded.
          this.withdrawPrompt({server, announcedAs});
          refusals.push({server, reason: 'server-gone', retryAfterMs: 0});
          continue;
        }
        const newest = this.versions.get(name);
        if (newest > answer.version) {
          // A newer version was announced while the adapter loaded.
          version = newest;
          this.withdrawPrompt({server, announcedAs});
          refusals.push({server, reason: 'older-version', retryAfterMs: 0});
          continue;
        }
        const reason = lastAttempt ? 'last choice' : 'prepared';
        const {promptWaitMs} = answer;
        const selected = found(server, answer.version, reason);
        return {...selected, announcedAs, promptWaitMs};
      }
      refusals.push({server, ...answer});
      if (lastAttempt) {
        break;
      }
    }
    const at = this.context.clock.now();
    const open = ranking.byAffinity.filter((server) =>
      this.context.servers.isOpen(server, at),
    );
    return this.selectWithoutLease(selection, name, version, open, refusals);
  }

  /**
   * Prompt tokens of a request whose stream has a target for event gaps; 0 for
   * others, whose prompts are not limited.
   */
  private limitedPromptTokens({request, route}: SelectionRequest): number {
    return route.eventGapMs === undefined
      ? 0
      : readPromptTokens(this.context, request);
  }

  /**
   * Selects the first server on which this host has a valid adapter lease, and
   * to which it may send the prompt without announcing it.
   */
  private selectLeased(
    name: {model: string; adapter: string},
    version: number,
    promptTokens: number,
    servers: readonly Server[],
  ): Selection | undefined {
    const at = this.context.clock.now();
    for (const server of servers) {
      if (promptTokens > 0 && server.health.limitsPrompts(at)) {
        continue;
      }
      const lease = this.residency.validLease(name, server.key, version, at);
      if (lease !== undefined) {
        lease.uses += 1;
        return found(server, lease.version, 'promised');
      }
    }
    return undefined;
  }

  /** Requests an adapter lease from the server's issuer and records it. */
  private async requestLease(
    server: Server,
    request: PrepareRequest,
    signal: AbortSignal,
  ): Promise<PrepareAnswer> {
    const {clock, metrics} = this.context;
    const requestedAt = clock.now();
    const answer = await this.broker.request(
      server,
      request,
      signal,
      (lateAnswer) => {
        if (lateAnswer.outcome === 'resident') {
          // No request waits for the adapter any more. With a lease of 0 ms,
          // the next release of expired leases includes it.
          const {key} = server;
          this.residency.recordLease(
            request,
            key,
            lateAnswer.version,
            0,
            clock.now(),
          );
          this.scheduleReport();
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
        requestedAt,
      );
      this.scheduleReport();
    }
    return answer;
  }

  /** Falls back to the last known residency when no issuer grants a lease. */
  private selectWithoutLease(
    {firstSend}: SelectionRequest,
    name: {model: string; adapter: string},
    version: number,
    ranked: readonly Server[],
    refusals: readonly Refusal[],
  ): Selection {
    const withoutQueue = ranked.filter(
      (server) =>
        !refusals.some(
          (refusal) =>
            refusal.server === server && refusal.reason === 'prompts-waiting',
        ),
    );
    const lastKnown = withoutQueue.find((server) =>
      this.residency.lastKnownResident(name, server.key, version),
    );
    if (lastKnown !== undefined) {
      return found(lastKnown, version, 'believed');
    }
    const [first] = ranked;
    const noIssuerReached = refusals.every(({reason}) =>
      NO_ISSUER_REFUSALS.has(reason),
    );
    if (first !== undefined && noIssuerReached && firstSend) {
      // No issuer can be reached. The adapter is probably resident on the
      // server that all hosts rank first; a server without it rejects the
      // request.
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
    {request, route, latencyBudgetMs}: SelectionRequest,
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
      onTimeWithinMs: Math.max(0, latencyBudgetMs - FIRST_CHUNK_MS),
      priority: route.priority,
      uses: this.residency.takeUses(name, server.key),
      slowness: this.longTermSlowdown(server),
      inFlight: server.health.inFlight,
      takesCrowded: false,
      among: 1,
      promptTokens: 0,
    };
  }

  private serial = 0;

  /**
   * Long-term slowdown that this host reports to issuers; undefined if the
   * server has not reported its slowness recently.
   */
  private longTermSlowdown(server: Server): number | undefined {
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

/** Why a server was not selected for an adapter. */
interface Refusal {
  readonly server: Server;
  readonly reason: PrepareRefusal | 'older-version';
  readonly retryAfterMs: number;
}

/**
 * Returns the candidates among the servers that share an adapter's requests:
 * those that are not overloaded and, if there are any, not slowed down.
 */
const spreadCandidates = (
  {byAffinity, notOverloaded, notSlowed}: AffinityRanking,
  withIssuer: readonly Server[],
  spread: number,
): readonly Server[] => {
  const candidates = byAffinity
    .slice(0, spread)
    .filter(
      (server) => notOverloaded.includes(server) && withIssuer.includes(server),
    );
  const notSlowedCandidates = candidates.filter((server) =>
    notSlowed.includes(server),
  );
  return notSlowedCandidates.length > 0 ? notSlowedCandidates : candidates;
};

/** Refusals for which no issuer was reached; they say nothing of the server. */
const NO_ISSUER_REFUSALS: ReadonlySet<Refusal['reason']> = new Set([
  'not-issuer',
  'unreachable',
]);

/** Refusals after which the server may be asked again with a longer wait. */
const RETRYABLE_REFUSALS: ReadonlySet<Refusal['reason']> = new Set([
  'too-long',
  'no-place',
  'crowded',
  'held-back',
  'prompts-waiting',
]);

/** The server with the shortest expected wait among retryable refusals. */
const shortestWait = (refusals: readonly Refusal[]): Server | undefined =>
  refusals
    .filter(({reason}) => RETRYABLE_REFUSALS.has(reason))
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
): FoundServer => ({
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
