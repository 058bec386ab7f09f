import {
  hostRecordName,
  type Server,
  type StoredItem,
} from '@basilworks/dispatch';

import {StreamContinuation} from '../../front/stream-continuation.js';
import {NO_STREAM_GUARD} from '../../streams/index.js';
import {FleetSimulation, serverEntry} from '../views/fleet-simulation.js';

export const SERVICE = 'engines';

const HEARTBEAT_MS = 1_000;

/** Where a stream began, or went on. */
export type StreamEnd =
  | {readonly type: 'at'; readonly softwareVersion: string}
  | {readonly type: 'refused'};

/** A fleet whose hosts keep streams at their software versions. */
export class StreamFleet {
  readonly fleet: FleetSimulation;
  private readonly servers = new Map<string, string>();
  private serial = 0;

  constructor(hosts: number) {
    const layout = {zones: 3, largeHostsPerZone: 0, tracksStreams: true};
    this.fleet = new FleetSimulation(hosts, layout);
    for (const name of this.fleet.names) {
      this.fleet.store.put('records', hostRecordName(name), {});
    }
  }

  /** Starts the hosts beside servers of the given software versions. */
  async start(...softwareVersions: readonly string[]): Promise<void> {
    for (const softwareVersion of softwareVersions) {
      this.addServers(softwareVersion);
    }
    this.fleet.startHeartbeats(() => [...this.servers.keys()], HEARTBEAT_MS);
    await this.fleet.start();
    await this.pass(4_000);
  }

  /** Adds servers of a software version. */
  addServers(softwareVersion: string): void {
    for (let index = 0; index < 3; index += 1) {
      const id = `s${(this.serial += 1)}`;
      this.servers.set(id, softwareVersion);
      this.fleet.putServer(id, {service: SERVICE, softwareVersion});
    }
  }

  /** Removes all servers of a software version. */
  removeServers(softwareVersion: string): void {
    for (const [id, version] of this.servers) {
      if (version === softwareVersion) {
        this.servers.delete(id);
        this.fleet.store.remove('servers', id);
      }
    }
  }

  async pass(ms: number): Promise<void> {
    const {time} = this.fleet;
    await time.advance(time.nowMs + ms);
  }

  /** Ends a host's process. */
  kill(name: string): void {
    this.fleet.host(name).close();
  }

  /** Names of hosts that run. */
  running(): readonly string[] {
    return [...this.fleet.hosts.values()]
      .filter(({running}) => running)
      .map(({name}) => name);
  }

  /**
   * Begins a stream at a version, if that may be, and brings its first event
   * after `firstEventMs`.
   */
  async begin(
    host: string,
    requestId: string,
    softwareVersion: string,
    firstEventMs = 30,
    resumes?: string,
  ): Promise<StreamEnd> {
    const {streams = NO_STREAM_GUARD, running} = this.fleet.host(host);
    const server = serverOf(softwareVersion);
    const continuation = new StreamContinuation(streams, {
      service: SERVICE,
      requestId,
      resumes,
      takesUp: false,
    });
    if (!running || !continuation.allows(server)) {
      return {type: 'refused'};
    }
    if (!(await continuation.announce(server))) {
      return {type: 'refused'};
    }
    await this.fleet.time.sleep(firstEventMs);
    if (!this.fleet.host(host).running) {
      return {type: 'refused'};
    }
    continuation.recordEvent(server);
    return {type: 'at', softwareVersion};
  }

  /** Takes a stream up at a host. */
  async takeUp(host: string, resumes: string | undefined): Promise<StreamEnd> {
    const {streams = NO_STREAM_GUARD} = this.fleet.host(host);
    const continuation = new StreamContinuation(streams, {
      service: SERVICE,
      requestId: `take-up-${(this.serial += 1)}`,
      resumes,
      takesUp: true,
    });
    if (!(await continuation.find())) {
      return {type: 'refused'};
    }
    const allowed = [...new Set(this.servers.values())].filter((version) =>
      continuation.allows(serverOf(version)),
    );
    const [softwareVersion, ...others] = allowed;
    if (softwareVersion === undefined) {
      return {type: 'refused'};
    }
    if (others.length > 0) {
      throw new Error(
        `${resumes ?? 'a stream'} may go on at ${allowed.join(' and ')}`,
      );
    }
    continuation.recordEvent(serverOf(softwareVersion));
    return {type: 'at', softwareVersion};
  }

  /** Takes streams up, in turns at the hosts that run. */
  async takeUpAll(
    requestIds: readonly string[],
    hosts = this.running(),
  ): Promise<readonly StreamEnd[]> {
    const ends = requestIds.map((requestId, index) =>
      this.takeUp(hosts[index % hosts.length] ?? 'h0', requestId),
    );
    await this.pass(5_000);
    return Promise.all(ends);
  }

  /** The software versions of the service on record. */
  recorded(): unknown {
    const items: readonly StoredItem[] = this.fleet.store.list('records');
    return items.find(({name}) => name.startsWith('software-versions'))?.value;
  }

  close(): void {
    this.fleet.close();
  }
}

const serverOf = (softwareVersion: string): Server =>
  ({
    entry: {...serverEntry('any'), service: SERVICE, softwareVersion},
  }) as unknown as Server;
