import type {CoreSettings} from '@basilworks/core';
import {
  DEFAULT_ENGINE_OPTIONS,
  type EngineOptions,
} from '@basilworks/stand-ins';

/** Sizes of one deployment's model side. */
export interface Deployment {
  readonly name: 'halloran' | 'al-hajar';
  readonly pool: string;
  readonly baseModel: string;
  readonly zones: readonly string[];
  readonly servers: number;
  readonly adapters: number;
  readonly weightStore: CoreSettings['weightStore'];
  readonly objectives: CoreSettings['objectives'];
}

/** Halloran's six model servers; its three plain servers take no models. */
export const HALLORAN: Deployment = {
  name: 'halloran',
  pool: 'assistant-models',
  baseModel: 'assistant-base',
  zones: ['fairhaven', 'gloucester', 'portland-me'],
  servers: 6,
  adapters: 3_000,
  weightStore: {
    loadsPerSecond: 2,
    fullSpeedLoads: 2,
    transitLimit: 16,
    loadMs: 250,
  },
  objectives: {loadStallWeight: 0.7, batchEfficiencyWeight: 0.3},
};

/** Al Hajar's thirteen model servers; its three plain servers are left out. */
export const AL_HAJAR: Deployment = {
  name: 'al-hajar',
  pool: 'advisor-models',
  baseModel: 'advisor-base',
  zones: ['nizwa-a', 'nizwa-b', 'nizwa-c'],
  servers: 13,
  adapters: 3_000,
  weightStore: {
    loadsPerSecond: 9,
    fullSpeedLoads: 4,
    transitLimit: 32,
    loadMs: 250,
  },
  objectives: {loadStallWeight: 0.3, batchEfficiencyWeight: 0.7},
};

/** One model server of a deployment. */
export interface BenchServer {
  readonly server: string;
  readonly zone: string;
}

/** Names of a deployment's model servers, spread over its zones in turn. */
export const serversOf = ({
  servers,
  zones,
}: Deployment): readonly BenchServer[] =>
  Array.from({length: servers}, (_, index) => ({
    server: `server-${String(index + 1).padStart(2, '0')}`,
    zone: zones[index % zones.length] ?? '',
  }));

/** Sizes and speeds of every engine of the bench. */
export const ENGINE_OPTIONS: Omit<EngineOptions, 'server'> = {
  ...DEFAULT_ENGINE_OPTIONS,
  slots: 16,
  batchPositions: 16,
  queueLimit: 64,
  evictInUseAllowed: false,
  tokensPerStep: 4,
};
