import type {ServerDescription} from '@basilworks/core';

/** Engines spread over the zones in turn, and one plain server. */
export const sampleServers = (
  engines: number,
  zones: number,
  checksFencing: (index: number) => boolean,
): readonly ServerDescription[] => [
  ...Array.from({length: engines}, (_, index) => ({
    server: `engine-${index}`,
    zone: `zone-${index % zones}`,
    pool: 'assistant-models',
    kind: 'engine' as const,
    address: `127.0.0.1:${4000 + index}`,
    baseModel: 'base',
    slots: 4,
    batchPositions: 8,
    checksFencing: checksFencing(index),
    state: 'live' as const,
  })),
  {
    server: 'desk-0',
    zone: 'zone-0',
    pool: 'billing-desk',
    kind: 'plain',
    address: '127.0.0.1:4900',
    slots: 0,
    batchPositions: 8,
    checksFencing: false,
    state: 'live',
  },
];

/** A sheet with the adapters `a-0` to `a-N`, all at one version. */
export const sampleSheet = (adapters: number, version: string): string =>
  [
    'adapter,base_model,version,urgency,priority,service,retire',
    ...Array.from(
      {length: adapters},
      (_, index) =>
        `a-${index},base,${version},50,standard,assistant-models,no`,
    ),
  ].join('\n');
