import type {Instant} from '@basilworks/core';

import {type GroupFigure, GroupSums} from './group-sums.js';

/** Requests and places of some servers of a service. */
export interface ServiceLoad {
  readonly service: string;
  readonly requests: number;
  readonly slots: number;
}

/** The load of the servers whose orders the hosts of one group issue. */
export type GroupLoad = GroupFigure<ServiceLoad>;

/** How busy the servers of a service are over the whole fleet. */
export class FleetLoad {
  private readonly sums = new GroupSums<ServiceLoad>(
    ({service}) => service,
    (sum, {requests, slots}) => ({
      ...sum,
      requests: sum.requests + requests,
      slots: sum.slots + slots,
    }),
  );

  /** A host of the group tells the load of the servers it issues orders to. */
  applyHostLoads(
    host: string,
    loads: readonly ServiceLoad[],
    at: Instant,
  ): void {
    this.sums.applyHostFigures(host, loads, at);
  }

  /** Another host passes on what it knows of a group, as of `at`. */
  applyGroupLoad(load: GroupLoad, at: Instant): void {
    this.sums.applyGroupFigure(load, at);
  }

  /** Sums up what the hosts of this host's group told. */
  aggregate(group: string, at: Instant): void {
    this.sums.aggregate(group, at);
  }

  /** What is known of all groups, with its age in milliseconds. */
  groupLoads(at: Instant): readonly (GroupLoad & {readonly ageMs: number})[] {
    return this.sums.groupFigures(at);
  }

  /** Share of a service's places that are taken; undefined if not known. */
  occupancy(service: string, at: Instant): number | undefined {
    const loads = this.groupLoads(at).filter(
      (load) => load.service === service,
    );
    const slots = loads.reduce((sum, load) => sum + load.slots, 0);
    const requests = loads.reduce((sum, load) => sum + load.requests, 0);
    return slots === 0 ? undefined : requests / slots;
  }
}
