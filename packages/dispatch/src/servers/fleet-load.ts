import type {Instant} from '@basilworks/core';

import {type GroupFigure, GroupSums} from './group-sums.js';

/** Requests and slots of some servers of a service. */
export interface ServiceLoad {
  readonly service: string;
  readonly requests: number;
  readonly slots: number;
}

/** Load of the servers whose orders are issued by the hosts of one group. */
export type GroupLoad = GroupFigure<ServiceLoad>;

/** Occupancy of the servers of each service over the whole fleet. */
export class FleetLoad {
  private readonly sums = new GroupSums<ServiceLoad>(
    ({service}) => service,
    (sum, {requests, slots}) => ({
      ...sum,
      requests: sum.requests + requests,
      slots: sum.slots + slots,
    }),
  );

  /**
   * Records the load of the servers to which a host of the group issues orders.
   */
  applyHostLoads(
    host: string,
    loads: readonly ServiceLoad[],
    at: Instant,
  ): void {
    this.sums.applyHostFigures(host, loads, at);
  }

  /** Applies the load of a group as relayed by another host, as of `at`. */
  applyGroupLoad(load: GroupLoad, at: Instant): void {
    this.sums.applyGroupFigure(load, at);
  }

  /** Sums up the loads that the hosts of this host's group reported. */
  aggregate(group: string, at: Instant): void {
    this.sums.aggregate(group, at);
  }

  /**
   * Returns the unexpired loads of all groups, with their ages in milliseconds.
   */
  groupLoads(at: Instant): readonly (GroupLoad & {readonly ageMs: number})[] {
    return this.sums.groupFigures(at);
  }

  /** Share of a service's slots that are in use; undefined if not known. */
  occupancy(service: string, at: Instant): number | undefined {
    const loads = this.groupLoads(at).filter(
      (load) => load.service === service,
    );
    const slots = loads.reduce((sum, load) => sum + load.slots, 0);
    const requests = loads.reduce((sum, load) => sum + load.requests, 0);
    return slots === 0 ? undefined : requests / slots;
  }
}
