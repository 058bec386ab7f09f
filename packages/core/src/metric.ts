/**
 * Adds a measurement. Names are the metric names of the daemon's registry
 * without the `basilworks_` prefix; the unit is part of the name.
 */
export interface ObserveMetricEffect {
  readonly type: 'observe-metric';
  readonly metric:
    | 'load_stall_seconds'
    | 'batch_efficiency_ratio'
    | 'queue_depth'
    | 'refusals_total'
    | 'requests_total'
    | 'adapter_loads_total'
    | 'adapter_evictions_total'
    | 'owned_servers'
    | 'configuration_revision'
    | 'retries_total'
    | 'call_replays_total';
  readonly value: number;
  readonly labels: Readonly<Record<string, string>>;
}
