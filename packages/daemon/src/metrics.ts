import type {ObserveMetricEffect} from '@basilworks/core';
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

const PREFIX = 'basilworks_';

/** Upper bounds of waits and latencies, seconds. */
const WAIT_BUCKETS_SECONDS = [
  0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 32,
];

/** Upper bounds of ratios. */
const RATIO_BUCKETS = [0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1];

/** The metrics of one process. */
export class Metrics {
  readonly registry = new Registry();
  readonly storeCalls = this.counter(
    'store_calls_total',
    'Calls to the object API by operation and result.',
    ['operation', 'result'],
  );
  readonly controlBytes = this.counter(
    'control_bytes_total',
    'Bytes of control traffic by direction and channel.',
    ['direction', 'channel'],
  );
  readonly controlMessages = this.counter(
    'control_messages_total',
    'Control messages between entry hosts by direction and type.',
    ['direction', 'type'],
  );
  readonly controlProcessorSeconds = this.counter(
    'control_processor_seconds_total',
    'Time that turns of the loop took on its thread.',
    [],
  );
  readonly turns = this.counter(
    'loop_turns_total',
    'Turns of the loop by event type.',
    ['event'],
  );
  readonly runnerFailures = this.counter(
    'runner_failures_total',
    'Effects whose runner threw, by effect type.',
    ['effect'],
  );
  readonly relayedBytes = this.counter(
    'relayed_bytes_total',
    'Bytes of answers written to callers.',
    [],
  );
  readonly openRequests = this.gauge(
    'open_requests',
    'Requests of callers that this host holds.',
    [],
  );
  readonly firstByteSeconds = this.histogram(
    'first_byte_seconds',
    'Time from a request to the first byte of its answer.',
    ['class'],
    WAIT_BUCKETS_SECONDS,
  );
  private readonly observers: Readonly<
    Record<ObserveMetricEffect['metric'], Observer>
  >;

  constructor() {
    collectDefaultMetrics({register: this.registry});
    this.observers = {
      load_stall_seconds: observeHistogram(
        this.histogram(
          'load_stall_seconds',
          'Time that requests waited for an adapter to load.',
          ['class'],
          WAIT_BUCKETS_SECONDS,
        ),
      ),
      batch_efficiency_ratio: observeHistogram(
        this.histogram(
          'batch_efficiency_ratio',
          'Filled over offered batch positions while a server has work.',
          ['pool'],
          RATIO_BUCKETS,
        ),
      ),
      queue_depth: observeGauge(
        this.gauge('queue_depth', 'Requests that wait, by place.', ['queue']),
      ),
      refusals_total: observeCounter(
        this.counter('refusals_total', 'Refused requests by code.', ['code']),
      ),
      requests_total: observeCounter(
        this.counter('requests_total', 'Requests of callers by kind.', [
          'kind',
          'pool',
        ]),
      ),
      adapter_loads_total: observeCounter(
        this.counter('adapter_loads_total', 'Adapter loads by result.', [
          'result',
        ]),
      ),
      adapter_evictions_total: observeCounter(
        this.counter('adapter_evictions_total', 'Adapter evictions.', []),
      ),
      owned_servers: observeGauge(
        this.gauge('owned_servers', 'Servers that this host owns.', []),
      ),
      configuration_revision: observeGauge(
        this.gauge(
          'configuration_revision',
          'Revision of the configuration in force.',
          [],
        ),
      ),
      retries_total: observeCounter(
        this.counter('retries_total', 'Repeated sends by reason.', [
          'reason',
          'pool',
        ]),
      ),
      call_replays_total: observeCounter(
        this.counter(
          'call_replays_total',
          'Repeats of calls that were given a recorded answer.',
          ['pool'],
        ),
      ),
    };
  }

  /** Applies a measurement of the reducer. */
  observe({metric, value, labels}: ObserveMetricEffect): void {
    this.observers[metric](value, labels);
  }

  /** Counts a request of a caller that was refused by this host itself. */
  countRefusal(code: string): void {
    this.observers.refusals_total(1, {code});
  }

  /** Counts a model request of a caller, resumes included. */
  countModelRequest(pool: string): void {
    this.observers.requests_total(1, {kind: 'model', pool});
  }

  private counter(name: string, help: string, labelNames: string[]) {
    const registers = [this.registry];
    return new Counter({name: PREFIX + name, help, labelNames, registers});
  }

  private gauge(name: string, help: string, labelNames: string[]) {
    const registers = [this.registry];
    return new Gauge({name: PREFIX + name, help, labelNames, registers});
  }

  private histogram(
    name: string,
    help: string,
    labelNames: string[],
    buckets: number[],
  ) {
    return new Histogram({
      name: PREFIX + name,
      help,
      labelNames,
      buckets,
      registers: [this.registry],
    });
  }
}

type Labels = Readonly<Record<string, string>>;
type Observer = (value: number, labels: Labels) => void;

const observeCounter =
  (counter: Counter): Observer =>
  (value, labels) => {
    counter.inc(labels, value);
  };

const observeGauge =
  (gauge: Gauge): Observer =>
  (value, labels) => {
    gauge.set(labels, value);
  };

const observeHistogram =
  (histogram: Histogram): Observer =>
  (value, labels) => {
    histogram.observe(labels, value);
  };
