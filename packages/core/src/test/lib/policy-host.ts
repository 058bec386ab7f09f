import type {Effect} from '../../effects.js';
import type {CoreEvent} from '../../events.js';
import type {PriorityClass, RequestDescription} from '../../request.js';
import {reduce} from '../../reducer.js';
import type {HostList, ServerDescription} from '../../server.js';
import {coreSettingsSchema} from '../../settings.js';
import {createState, type CoreState} from '../../state.js';
import {FakeStore} from './fake-store.js';
import type {EffectOf} from './test-host.js';

const HOST = 'entry-1';

/** Step by which virtual time advances. */
const STEP_MS = 50;

/** One engine of the tests. */
export const engineOf = (
  server: string,
  slots: number,
  batchPositions: number,
): ServerDescription => ({
  server,
  zone: 'fairhaven',
  pool: 'assistant-models',
  kind: 'engine',
  address: '127.0.0.1:9',
  baseModel: 'base',
  slots,
  batchPositions,
  checksFencing: true,
  state: 'live',
});

/** One host that owns its engines, on virtual time. */
export class PolicyHost {
  readonly state: CoreState;
  /** Effects towards engines and callers, in order. */
  effects: Effect[] = [];
  nowMs = 0;
  private servers: readonly ServerDescription[];
  private listVersion = 1;
  private readonly store = new FakeStore();
  private readonly timers = new Map<string, EffectOf<'set-timer'>>();
  private readonly dueMs = new Map<string, number>();

  constructor(servers: readonly ServerDescription[]) {
    this.servers = servers;
    const settings = coreSettingsSchema.parse({
      host: HOST,
      zone: 'fairhaven',
      peerAddress: '127.0.0.1:1',
      callerAddress: '127.0.0.1:2',
      weightStore: {loadsPerSecond: 1_000, fullSpeedLoads: 100},
    });
    this.state = createState(settings, {incarnation: `${HOST}#1`, seed: 1});
    this.post({type: 'started'});
    this.advance(8_000);
    for (const {server} of servers) {
      this.report(server, []);
    }
    this.effects = [];
  }

  /** Reduces an event and runs the effects that are not the test's own. */
  post(event: CoreEvent): void {
    const at = {monotonicMs: this.nowMs, wallMs: this.nowMs};
    for (const effect of reduce(this.state, event, at).effects) {
      this.run(effect);
    }
  }

  /** Lets time pass and fires the timers that become due. */
  advance(byMs: number): void {
    const untilMs = this.nowMs + byMs;
    while (this.nowMs < untilMs) {
      this.nowMs = Math.min(untilMs, this.nowMs + STEP_MS);
      for (const [key, dueMs] of [...this.dueMs]) {
        const timer = this.timers.get(key);
        if (dueMs <= this.nowMs && timer) {
          this.dueMs.delete(key);
          const {area} = timer;
          this.post({type: 'timer-fired', area, timer: timer.timer});
        }
      }
    }
  }

  /** Removes and returns the kept effects of a type. */
  take<Type extends Effect['type']>(type: Type): EffectOf<Type>[] {
    const taken = this.effects.filter((effect) => effect.type === type);
    this.effects = this.effects.filter((effect) => effect.type !== type);
    return taken as EffectOf<Type>[];
  }

  /** Submits a request; its execution arrives at the owner at once. */
  submit(
    requestId: string,
    adapter: string,
    overrides: Partial<RequestDescription> = {},
    remainingMs = 60_000,
  ): void {
    const request = requestOf(requestId, adapter, overrides);
    this.post({type: 'request-submitted', request, remainingMs});
    this.openAttempts();
  }

  /** Opens the data path of the attempts that were started. */
  openAttempts(): void {
    for (const attempt of this.take('start-attempt')) {
      this.post({
        type: 'execution-requested',
        executionId: attempt.attemptId,
        request: attempt.request,
        server: attempt.server,
        from: HOST,
        remainingMs: attempt.remainingMs,
        resumeOffsetBytes: undefined,
      });
    }
  }

  /** Ends the orders of a kind that were given, and returns them. */
  endOrders(
    order: 'load' | 'unload',
    outcome: Extract<
      CoreEvent,
      {type: 'adapter-order-finished'}
    >['outcome'] = 'done',
  ): EffectOf<'order-adapter'>[] {
    const orders = this.take('order-adapter');
    this.effects.push(...orders.filter((one) => one.order !== order));
    const ended = orders.filter((one) => one.order === order);
    for (const {orderId} of ended) {
      this.post({type: 'adapter-order-finished', orderId, outcome});
    }
    return ended;
  }

  /** Ends an execution at the engine and at its ingress. */
  finish(executionId: string): void {
    const outcome = {kind: 'answered', status: 200} as const;
    const [requestId = ''] = executionId.split('.');
    this.post({type: 'execution-finished', executionId, outcome, tokens: 10});
    const attemptId = executionId;
    this.post({type: 'attempt-finished', requestId, attemptId, outcome});
  }

  /** An engine reports what it holds, measured just now. */
  report(
    server: string,
    resident: readonly string[],
    engineIncarnation = 'engine#1',
    running = 0,
  ): void {
    this.post({
      type: 'server-reported',
      server,
      report: {
        server,
        engineIncarnation,
        ageMs: 0,
        resident: resident.map((adapter) => ({
          adapter,
          version: 'v1',
          state: 'ready',
          running,
        })),
        running,
        waiting: 0,
      },
    });
  }

  /** The host list marks a server as leaving. */
  markLeaving(server: string): void {
    this.servers = this.servers.map((one) =>
      one.server === server ? {...one, state: 'leaving'} : one,
    );
    this.listVersion += 1;
    this.advance(2_000);
  }

  private run(effect: Effect): void {
    if (effect.type === 'set-timer') {
      const key = `${effect.area}/${effect.timer}`;
      this.timers.set(key, effect);
      this.dueMs.set(key, this.nowMs + effect.delayMs);
    } else if (effect.type === 'cancel-timer') {
      this.dueMs.delete(`${effect.area}/${effect.timer}`);
    } else if (effect.type === 'store-request') {
      const {area, correlation, operation} = effect;
      const result = this.store.apply(operation);
      const sentAt = {monotonicMs: this.nowMs, wallMs: this.nowMs};
      const type = 'store-responded';
      this.post({type, area, correlation, result, sentAt});
    } else if (effect.type === 'read-host-list') {
      this.post({type: 'host-list-read', hostList: this.hostList()});
    } else {
      this.effects.push(effect);
    }
  }

  private hostList(): HostList {
    return {
      version: this.listVersion,
      entryHosts: [
        {
          host: HOST,
          zone: 'fairhaven',
          peerAddress: '127.0.0.1:1',
          callerAddress: '127.0.0.1:2',
          state: 'live',
        },
      ],
      servers: [...this.servers],
    };
  }
}

const requestOf = (
  requestId: string,
  adapter: string,
  overrides: Partial<RequestDescription>,
): RequestDescription => ({
  requestId,
  member: 'member-1',
  adapter,
  version: 'v1',
  baseModel: 'base',
  pool: 'assistant-models',
  priorityClass: 'urgent' satisfies PriorityClass,
  prefixDigest: '',
  maximumTokens: 100,
  ...overrides,
});
