import {type StoreKind, type StoredItem} from '@basilworks/dispatch';
import {okAsync} from 'neverthrow';

import type {EntryHostContext} from '../../context.js';
import type {PeerConnection} from '../../peers/index.js';
import type {ViewSource} from '../../store/index.js';
import {StreamVersions} from '../../streams/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

export const SERVICE = 'engines';

const recordOf = (
  versions: readonly string[],
  revision: number,
): StoredItem => ({
  name: 'software-versions',
  revision,
  value: {type: 'software-versions', service: SERVICE, versions},
});

/** Enough hosts for each stream to have keepers. */
const HOSTS = ['h0', 'h1', 'h2', 'h3'];

/** A host whose views are `ageMs` old, beside a store that has `versions`. */
export const createHost = (ageMs: number) => {
  const fleet = new FleetSimulation(1);
  const {context: hostContext} = fleet.startHost('h0');
  const world = {
    at: {monotonicMs: 90_000, wallMs: 90_000},
    /** Software versions of the servers, on record and serving. */
    recorded: ['v1'],
    serving: ['v1'],
    failingMs: 0,
    reads: 0,
  };
  const context = {
    ...hostContext,
    clock: {now: () => world.at},
    membership: {live: () => HOSTS.map((host) => ({host}))},
    platform: {
      store: {
        loadStreams: () => okAsync([]),
        write: () => okAsync({type: 'conflict', item: undefined}),
      },
    },
  } as unknown as EntryHostContext;
  const update = (kind: StoreKind, freshAtMs: number) => {
    const freshAt = {monotonicMs: freshAtMs, wallMs: freshAtMs};
    const revision = 1 + context.views.revision(kind);
    const items =
      kind === 'records' ? [recordOf(world.recorded, revision)] : [];
    context.views.update({kind, revision, items}, freshAt, world.at);
    if (kind === 'records') {
      streams.applyRecords();
      return;
    }
    const entries = world.serving.map((softwareVersion) => ({
      entry: {
        ...serverEntry(`s-${softwareVersion}`),
        service: SERVICE,
        softwareVersion,
      },
      revision,
    }));
    context.servers.update(entries, undefined, world.at);
    streams.applyServers();
  };
  const sourceOf = (kind: StoreKind): ViewSource => ({
    refresh: () => {
      world.reads += 1;
      if (world.failingMs > 0) {
        return Promise.resolve(false);
      }
      update(kind, world.at.monotonicMs);
      return Promise.resolve(true);
    },
    failingMs: () => world.failingMs,
    responseMs: () => 4,
  });
  // A peer that keeps the origin of each stream.
  const peer = {
    queryStream: () => Promise.resolve({softwareVersion: 'v2', witness: true}),
  };
  const streams = new StreamVersions(
    context,
    () => peer as unknown as PeerConnection,
    sourceOf,
  );
  update('servers', world.at.monotonicMs - ageMs);
  update('records', world.at.monotonicMs - ageMs);
  const pass = (ms: number) => {
    const atMs = world.at.monotonicMs + ms;
    world.at = {monotonicMs: atMs, wallMs: atMs};
  };
  /** Applies what the store has now. */
  const readStore = () => {
    update('servers', world.at.monotonicMs);
    update('records', world.at.monotonicMs);
  };
  return {world, streams, pass, readStore, fleet};
};
