import {elapsedMs, type Instant} from '@basilworks/core';

/** Requests and places of some servers of a service. */
export interface ServiceLoad {
  readonly service: string;
  readonly requests: number;
  readonly slots: number;
}

/** The load of the servers whose orders the hosts of one group issue. */
export interface GroupLoad extends ServiceLoad {
  readonly group: string;
}

/** Load that is older is not counted, milliseconds: some rounds of exchanges. */
const VALIDITY_MS = 4_000;

type Aged<Load> = Load & {readonly at: Instant};

/**
 * How busy the servers of a service are over the whole fleet. Issuers tell the
 * leader of their group, leaders sum it up and tell each other, so that every
 * host learns one figure a group, however many hosts and servers there are.
 */
export class FleetLoad {
  private readonly issued = new Map<string, readonly Aged<ServiceLoad>[]>();
  private readonly groups = new Map<string, Aged<GroupLoad>>();

  /** A host of the group tells the load of the servers it issues orders to. */
  takeIssued(host: string, loads: readonly ServiceLoad[], at: Instant): void {
    this.issued.set(
      host,
      loads.map((load) => ({...load, at})),
    );
  }

  /** Another host passes on what it knows of a group, as of `at`. */
  takeGroup(load: GroupLoad, at: Instant): void {
    const key = groupKey(load);
    const known = this.groups.get(key);
    if (known === undefined || elapsedMs(known.at, at) > 0) {
      this.groups.set(key, {...load, at});
    }
  }

  /** Sums up what the hosts of this host's group told. */
  sumUp(group: string, at: Instant): void {
    const sums = new Map<string, {requests: number; slots: number}>();
    for (const [host, loads] of this.issued) {
      const fresh = loads.filter((load) => isFresh(load, at));
      if (fresh.length === 0) {
        this.issued.delete(host);
      }
      for (const {service, requests, slots} of fresh) {
        const sum = sums.get(service) ?? {requests: 0, slots: 0};
        sums.set(service, {
          requests: sum.requests + requests,
          slots: sum.slots + slots,
        });
      }
    }
    for (const [service, sum] of sums) {
      this.takeGroup({group, service, ...sum}, at);
    }
  }

  /** What is known of all groups, with its age in milliseconds. */
  known(at: Instant): readonly (GroupLoad & {readonly ageMs: number})[] {
    return this.fresh(at).map(({at: since, ...load}) => ({
      ...load,
      ageMs: Math.max(0, elapsedMs(since, at)),
    }));
  }

  /** Share of a service's places that are taken; undefined if not known. */
  occupancy(service: string, at: Instant): number | undefined {
    const loads = this.fresh(at).filter((load) => load.service === service);
    const slots = loads.reduce((sum, load) => sum + load.slots, 0);
    const requests = loads.reduce((sum, load) => sum + load.requests, 0);
    return slots === 0 ? undefined : requests / slots;
  }

  private fresh(at: Instant): readonly Aged<GroupLoad>[] {
    for (const [key, load] of this.groups) {
      if (!isFresh(load, at)) {
        this.groups.delete(key);
      }
    }
    return [...this.groups.values()];
  }
}

const groupKey = ({group, service}: GroupLoad): string => `${group} ${service}`;

const isFresh = (load: Aged<ServiceLoad>, at: Instant): boolean =>
  elapsedMs(load.at, at) < VALIDITY_MS;
