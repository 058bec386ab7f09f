import {STORE_KINDS, type StoreKind} from '@basilworks/dispatch';
import {Counter, Gauge, Histogram, Registry} from 'prom-client';

/** Buckets of latencies, seconds: from one network hop to a whole stream. */
const LATENCY_BUCKETS_S = [
  0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8,
];

/** Buckets of measured to estimated time, up to a factor of four either way. */
const RATIO_BUCKETS = [0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2, 4];

/**
 * Prometheus metrics of an entry host. Each property is named after its
 * metric.
 */
export class EntryHostMetrics {
  readonly registry = new Registry();

  readonly requests = this.counter(
    'basilworks_requests_total',
    'Requests by route and how they ended.',
    ['route', 'outcome'],
  );

  readonly tenantRequests = this.counter(
    'basilworks_tenant_requests_total',
    'Requests by tenant, none where it is not known, admitted or refused.',
    ['tenant', 'outcome'],
  );

  readonly quotaTokens = this.counter(
    'basilworks_quota_tokens_total',
    'Tokens of quotas by tenant: granted to this host, spent, returned.',
    ['tenant', 'event'],
  );

  readonly quotaRefusals = this.counter(
    'basilworks_quota_refusals_total',
    'Requests refused by quotas, by tenant and reason.',
    ['tenant', 'reason'],
  );

  readonly sends = this.counter(
    'basilworks_sends_total',
    'Sends to servers by service and how they ended.',
    ['service', 'end'],
  );

  readonly serverCrashes = this.counter(
    'basilworks_server_crashes_total',
    'Crashes of servers that interrupted requests of this host, by service.',
    ['service'],
  );

  readonly quarantines = this.counter(
    'basilworks_quarantined_keys_total',
    'Keys of requests that this host put in quarantine.',
    [],
  );

  readonly outdatedSends = this.counter(
    'basilworks_outdated_sends_total',
    'Actions on requests that wait at a server for an older version.',
    ['service', 'action'],
  );

  readonly orders = this.counter(
    'basilworks_orders_total',
    'Load and unload orders by operation and how they ended.',
    ['operation', 'end'],
  );

  readonly prepares = this.counter(
    'basilworks_prepares_total',
    'Adapters asked for by outcome.',
    ['outcome'],
  );

  readonly ownCalls = this.counter(
    'basilworks_own_calls_total',
    'Calls of this host to servers by purpose and how they ended.',
    ['service', 'purpose', 'status'],
  );

  readonly serverNotices = this.counter(
    'basilworks_server_notices_total',
    'Changes in what servers say of themselves, by service.',
    ['service'],
  );

  readonly permits = this.counter(
    'basilworks_permits_total',
    'Permits to send to limited servers, by service and outcome.',
    ['service', 'outcome'],
  );

  readonly serversAvoided = this.counter(
    'basilworks_servers_avoided_total',
    'Servers that requests were kept off for failing them, by service.',
    ['service'],
  );

  readonly storeCalls = this.counter(
    'basilworks_store_calls_total',
    'Calls to the metadata store by operation and how they ended.',
    ['operation', 'end'],
  );

  readonly viewBytes = this.counter(
    'basilworks_view_bytes_total',
    'Bytes of store views that this host sent to others, by kind.',
    ['kind'],
  );

  readonly connections = this.counter(
    'basilworks_upstream_connections_total',
    'New connections to servers by service.',
    ['service'],
  );

  readonly relayedConnections = this.counter(
    'basilworks_relayed_connections_total',
    'Connections to servers through a peer, for peers or for this host.',
    ['role', 'end'],
  );

  readonly cutCallers = this.counter(
    'basilworks_cut_callers_total',
    'Callers whose connections this host has cut, by reason.',
    ['reason'],
  );

  readonly refusals = this.counter(
    'basilworks_refusals_total',
    'Requests refused before they were read, by reason.',
    ['reason'],
  );

  readonly heldBytes = new Gauge({
    name: 'basilworks_held_bytes',
    help: 'Bytes held for callers, as last reviewed.',
    registers: [this.registry],
  });

  readonly callerConnections = new Gauge({
    name: 'basilworks_caller_connections',
    help: 'Open connections of callers, as last reviewed.',
    registers: [this.registry],
  });

  readonly answerSeconds = new Histogram({
    name: 'basilworks_answer_seconds',
    help: 'Time to the head of an answer by route, seconds.',
    labelNames: ['route'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly loopLagSeconds = new Gauge({
    name: 'basilworks_loop_lag_seconds',
    help: 'How late the latest timer of the loop fired, seconds.',
    registers: [this.registry],
  });

  readonly sendDelaySeconds = new Histogram({
    name: 'basilworks_send_delay_seconds',
    help: 'Time from the choice of a server to the first byte, seconds.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly viewConfirmations = new Counter({
    name: 'basilworks_view_confirmations_total',
    help: 'Selections that waited for a read of an outdated view, by outcome.',
    labelNames: ['outcome'],
    registers: [this.registry],
  });

  readonly sendViewAgeSeconds = new Histogram({
    name: 'basilworks_send_view_age_seconds',
    help: 'Age of the view of the servers at the first byte, seconds.',
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly prefillWaitSeconds = new Histogram({
    name: 'basilworks_prefill_wait_seconds',
    help: 'Time that prompts waited until their server could take them.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly outdatedStartSeconds = new Histogram({
    name: 'basilworks_outdated_start_seconds',
    help: 'Age of a newer version at first events of requests sent before it.',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS_S,
    registers: [this.registry],
  });

  readonly longestGapRatio = new Histogram({
    name: 'basilworks_longest_gap_ratio',
    help: 'Longest event gap of a stream against its target.',
    labelNames: ['service'],
    buckets: RATIO_BUCKETS,
    registers: [this.registry],
  });

  readonly estimateRatio = new Histogram({
    name: 'basilworks_estimate_ratio',
    help: 'Time to the head of a served answer against its estimate.',
    labelNames: ['service'],
    buckets: RATIO_BUCKETS,
    registers: [this.registry],
  });

  constructor(viewAgeMs: (kind: StoreKind) => number) {
    new Gauge({
      name: 'basilworks_memory_bytes',
      help: 'Memory of the process: resident, used heap, buffers outside of it.',
      labelNames: ['kind'],
      registers: [this.registry],
      collect() {
        const {rss, heapUsed, arrayBuffers} = process.memoryUsage();
        this.set({kind: 'resident'}, rss);
        this.set({kind: 'heap'}, heapUsed);
        this.set({kind: 'buffers'}, arrayBuffers);
      },
    });
    new Gauge({
      name: 'basilworks_view_age_seconds',
      help: 'Time since the view of a kind was known to be current, seconds.',
      labelNames: ['kind'],
      registers: [this.registry],
      collect() {
        for (const kind of STORE_KINDS) {
          const ageMs = viewAgeMs(kind);
          if (Number.isFinite(ageMs)) {
            this.set({kind}, ageMs / 1_000);
          }
        }
      },
    });
  }

  private counter(
    name: string,
    help: string,
    labelNames: readonly string[],
  ): Counter {
    return new Counter({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.registry],
    });
  }
}
